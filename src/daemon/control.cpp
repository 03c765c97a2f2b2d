#include "daemon/control.h"

#include "base/errors.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kRingCapacity = 1024;

} // namespace

HostId hostIdOf(const Settings &settings)
{
    return hostIdOf(settings.peers ? settings.peers->listen : Endpoint{settings.address, 0});
}

ControlDuty::ControlDuty(const Settings &settings, ProxyEngine &engine)
    : settings_(settings)
    , engine_(engine)
    , thread_("control", kRingCapacity)
{
}

void ControlDuty::start(WatchKeys watchKeys)
{
    watchKeys_ = std::move(watchKeys);
    const Member self{hostIdOf(settings_), settings_.zone, HostState::Alive, 0};
    engine_.applyView(std::make_shared<const View>(View{1, {self}}));
    thread_.hand([this] { watchKeys_({{std::string(kIndexKey), 0}}); });
    thread_.start();
}

bool ControlDuty::offer(const PlatformUpdate &update)
{
    return thread_.hand([this, update] { std::visit([this](const auto &value) { take(value); }, update); });
}

void ControlDuty::applySettings(const Settings &settings)
{
    thread_.hand([this, settings] { settings_ = settings; });
}

void ControlDuty::beginLeave()
{
    thread_.hand([this] { leaving_ = true; });
}

std::shared_ptr<const Catalogue> ControlDuty::catalogueInForce() const
{
    return inForce_.load();
}

bool ControlDuty::alive()
{
    return thread_.ask<bool>([] { return true; }, false);
}

std::string ControlDuty::stateAsJson()
{
    return thread_.ask<std::string>([this] { return dump(); }, R"({"error":"the control thread does not answer"})");
}

void ControlDuty::stop()
{
    thread_.stop();
}

void ControlDuty::take(const PlatformIndex &index)
{
    index_ = index;
    if (store_.keepOnly(index.shards)) {
        putInForce();
    }
    watchAll(index);
}

void ControlDuty::watchAll(const PlatformIndex &index)
{
    std::vector<WatchedKey> keys{{std::string(kIndexKey), index.revision}};
    for (const auto &shard : index.shards) {
        keys.push_back({shardKey(shard), store_.offeredRevision(shard).value_or(0)});
    }
    for (const auto &zone : index.zones) {
        keys.push_back({hostsKey(zone), 0});
    }
    watchKeys_(std::move(keys));
}

void ControlDuty::take(CatalogueShard shard)
{
    const auto name = shard.name;
    const auto revision = shard.revision;
    const auto offer = store_.offer(std::move(shard));
    switch (offer.result) {
    case OfferResult::Accepted:
        count(Counter::CatalogueAccepted);
        putInForce();
        logEvent(Event::CatalogueAccepted, {field("shard", name), field("revision", revision)});
        break;
    case OfferResult::Refused:
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(faultsToString(offer.faults, "shard " + name + ": ")));
        break;
    case OfferResult::Stale:
        reportError(ErrorKind::StaleRevision, "shard " + name);
        break;
    case OfferResult::Unchanged:
        break;
    }
}

void ControlDuty::take(const HostList &list)
{
    hostLists_.insert_or_assign(list.zone.name, list);
}

void ControlDuty::putInForce()
{
    const auto catalogue = store_.inForce();
    engine_.applyCatalogue(catalogue);
    inForce_.store(catalogue);
}

std::string ControlDuty::dump() const
{
    nlohmann::json shards = nlohmann::json::array();
    for (const auto &shard : store_.inForce()->shards) {
        shards.push_back({{"name", shard.name}, {"revision", shard.revision}, {"services", shard.services.size()}});
    }
    nlohmann::json waiting = nlohmann::json::object();
    for (const auto &[name, faults] : store_.waiting()) {
        waiting[name] = faultsToString(faults);
    }
    nlohmann::json listed = nlohmann::json::object();
    for (const auto &[zone, list] : hostLists_) {
        listed[zone] = {{"revision", list.revision}, {"hosts", list.hosts.size()}};
    }
    const nlohmann::json state{{"leaving", leaving_}, {"catalogue", {{"shards", shards}, {"waiting", waiting}}}, {"listedHosts", listed}};
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace medlarway
