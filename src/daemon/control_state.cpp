#include "daemon/control.h"

#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

using nlohmann::json;

std::string_view stateName(HostState state)
{
    switch (state) {
    case HostState::Alive:
        return "alive";
    case HostState::Suspect:
        return "suspect";
    case HostState::Leaving:
        break;
    }
    return "leaving";
}

json viewAsJson(const View &view)
{
    json members = json::array();
    for (const auto &member : view.members) {
        members.push_back({{"host", endpointToString(endpointOf(member.id))},
                           {"zone", member.zone.name},
                           {"state", stateName(member.state)},
                           {"incarnation", member.incarnation}});
    }
    return {{"number", view.number}, {"members", members}};
}

json shardsAsJson(const Catalogue &catalogue)
{
    json shards = json::array();
    for (const auto &shard : catalogue.shards) {
        shards.push_back({{"name", shard.name}, {"revision", shard.revision}, {"services", shard.services.size()}});
    }
    return shards;
}

json waitingAsJson(const CatalogueStore &store)
{
    json waiting = json::object();
    for (const auto &[name, faults] : store.pending()) {
        waiting[name] = faultsToString(faults);
    }
    return waiting;
}

} // namespace

std::string ControlWorker::dump() const
{
    const auto now = Time(std::chrono::steady_clock::now());
    json listed = json::object();
    for (const auto &[zone, list] : hostLists_) {
        listed[zone] = {{"revision", list.revision}, {"hosts", list.hosts.size()}};
    }
    const auto stats = core_.catalogue().stats();
    const json state{
        {"leaving", leaving_},
        {"serving", serving_},
        {"view", viewAsJson(core_.membership().view())},
        {"viewFresh", core_.membership().isFresh(now)},
        {"listedHosts", listed},
        {"catalogue",
         {{"shards", shardsAsJson(*store_.inForce())},
          {"waiting", waitingAsJson(store_)},
          {"reads", shardsToRead_},
          {"applied", stats.applied},
          {"stale", stats.stale},
          {"conflicts", stats.conflicts}}},
        {"guard",
         {{"asksOpen", core_.guard().pendingClaims()},
          {"keysKept", core_.guard().grantedKeys()},
          {"fullMemory", core_.guard().isRecovered(now)}}},
        {"peers", link_ ? json::parse(link_->stateAsJson()) : json(nullptr)},
    };
    return state.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace medlarway
