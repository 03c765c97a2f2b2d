#include "daemon/control.h"

#include "base/errors.h"
#include "base/hash.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kRingCapacity = 8192;

Time steadyNow()
{
    return std::chrono::steady_clock::now();
}

// Milliseconds of the wall clock: higher after a restart unless the clock went back, which the
// peers notice and tell.
std::uint64_t bootNumber()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

HostCoreOptions coreOptions(const Settings &settings, std::uint64_t boot)
{
    HostCoreOptions options;
    options.self = hostIdOf(settings);
    options.zone = settings.zone;
    options.incarnation = boot;
    options.seed = combineHash(options.self.value, boot);
    options.guard.maxWindow = settings.guard.window;
    options.guard.startupAbstention = settings.guard.window;
    options.guard.listGiveUp = settings.guard.listGiveUp;
    if (!settings.peers) {
        options.earlierLists = EarlierLists::None;
        options.startWait = Duration{0};
    }
    return options;
}

} // namespace

HostId hostIdOf(const Settings &settings)
{
    if (!settings.peers) {
        return hostIdOf(Endpoint{settings.address, 0});
    }
    return hostIdOf(settings.peers->advertise.value_or(settings.peers->listen));
}

ControlDuty::ControlDuty(const Settings &settings, ProxyEngine &engine)
    : settings_(settings)
    , self_(hostIdOf(settings))
    , boot_(bootNumber())
    , engine_(engine)
    , core_(coreOptions(settings, boot_), steadyNow())
    , thread_("control", kRingCapacity)
    , timer_(thread_.context())
{
    if (settings_.peers) {
        openPeers();
    }
}

void ControlDuty::openPeers()
{
    const auto &peers = *settings_.peers;
    PeerLinkOptions options;
    options.self = self_;
    options.listen = peers.listen;
    options.keys = loadPeerKeys(peers.keyFile, peers.previousKeyFile);
    options.boot = boot_;
    options.controlBytesPerSecond = peers.bytesPerSecond;
    options.requestBytesPerSecond = peers.requestBytesPerSecond;
    link_ = std::make_unique<PeerLink>(options, thread_, [this](HostId from, const PeerMessage &message) {
        step([&](Time now, HostActions &actions) { core_.receive(from, message, now, actions); });
    });
    relay_ = std::make_unique<RelayDuty>(self_, peers.listen, boot_, options.keys, [this](HostId from, const RelayedDatagram &datagram) {
        engine_.deliverRelayedDatagram(from, datagram);
    });
}

ProxyPorts ControlDuty::ports()
{
    ProxyPorts ports;
    ports.claimKey = [this](const GuardKey &key, Duration window, Time deadline, const GuardReply &reply) {
        const bool handed = thread_.hand([this, key, window, deadline, reply] { askGuard(key, window, deadline, reply); });
        if (!handed) {
            reply(GuardVerdict::Refused, Time{});
        }
    };
    ports.finishRun = [this](const GuardKey &key, RunResult result) { thread_.hand([this, key, result] { finishRun(key, result); }); };
    if (!settings_.peers) {
        return ports;
    }
    ports.sendSlotMessage = [this](const std::string &service, HostId to, const SlotMessage &message) {
        thread_.hand([this, service, to, message] { link_->send(to, ServiceSlotMessage{service, message}, steadyNow()); });
    };
    ports.sendFlowMessage = [this](const std::string &service, HostId to, const FlowMessage &message) {
        thread_.hand([this, service, to, message] { link_->send(to, ServiceFlowMessage{service, message}, steadyNow()); });
    };
    ports.relayDatagram = [this](HostId to, const RelayedDatagram &datagram) { relay_->relay(to, datagram); };
    return ports;
}

void ControlDuty::start(WatchKeys watchKeysFunction)
{
    watchKeys_ = std::move(watchKeysFunction);
    thread_.hand([this] {
        watchKeys();
        applyHostLists();
        step([this](Time now, HostActions &actions) { core_.tick(now, actions); });
    });
    if (relay_) {
        relay_->start();
    }
    thread_.start();
}

// Runs one step of the cores and does what they want done, then waits for their next moment.
void ControlDuty::step(const Step &work)
{
    const auto now = steadyNow();
    HostActions actions;
    work(now, actions);
    perform(actions, now);
    serveWhenReady(now);
    armTimer();
}

void ControlDuty::armTimer()
{
    timer_.expires_at(core_.nextTick());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            step([this](Time now, HostActions &actions) { core_.tick(now, actions); });
        }
    });
}

bool ControlDuty::offer(const PlatformUpdate &update)
{
    return thread_.hand([this, update] { std::visit([this](const auto &value) { take(value); }, update); });
}

void ControlDuty::applySettings(const Settings &settings)
{
    std::optional<PeerKeys> keys;
    if (settings_.peers && settings.peers) {
        keys = loadPeerKeys(settings.peers->keyFile, settings.peers->previousKeyFile);
    }
    thread_.hand([this, settings, keys] {
        settings_ = settings;
        if (link_ && keys) {
            link_->setRates(settings.peers->bytesPerSecond, settings.peers->requestBytesPerSecond);
            link_->setKeys(*keys);
            relay_->setKeys(*keys);
        }
    });
}

void ControlDuty::beginLeave()
{
    thread_.hand([this] {
        leaving_ = true;
        step([this](Time now, HostActions &actions) { core_.leave(now, actions); });
    });
}

void ControlDuty::depart()
{
    thread_.ask<bool>(
        [this] {
            step([this](Time now, HostActions &actions) { core_.depart(now, actions); });
            return true;
        },
        false);
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
    if (relay_) {
        relay_->stop();
    }
    thread_.stop();
}

// A shard that the index no longer names was removed at the index's revision.
void ControlDuty::take(const PlatformIndex &index)
{
    const auto before = std::exchange(index_, index);
    step([&](Time now, HostActions &actions) {
        core_.learnShards(index.shards, actions);
        for (const auto &shard : before.shards) {
            if (std::find(index.shards.begin(), index.shards.end(), shard) == index.shards.end()) {
                core_.removeShard(shard, index.revision, now, actions);
            }
        }
    });
    watchKeys();
    applyHostLists();
}

void ControlDuty::take(const CatalogueShard &shard)
{
    if (shard.revision < core_.catalogue().shardRevision(shard.name)) {
        reportError(ErrorKind::StaleRevision, "shard " + shard.name);
    }
    step([&](Time now, HostActions &actions) { core_.offerShard(shard, now, actions); });
}

void ControlDuty::take(const HostList &list)
{
    hostLists_.insert_or_assign(list.zone.name, list);
    applyHostLists();
}

// The cores get the list only once it is whole: a key guard that took a part of it for all hosts
// would find a majority where there is none.
void ControlDuty::applyHostLists()
{
    std::vector<ListedHost> hosts;
    if (!settings_.platform.address) {
        hosts = settings_.hosts;
        if (hosts.empty()) {
            hosts.push_back({endpointOf(self_), settings_.zone, false});
        }
    } else {
        for (const auto &zone : index_.zones) {
            const auto found = hostLists_.find(zone);
            if (found == hostLists_.end()) {
                return;
            }
            hosts.insert(hosts.end(), found->second.hosts.begin(), found->second.hosts.end());
        }
    }
    if (!hosts.empty()) {
        step([&](Time now, HostActions &actions) { core_.setListed(hosts, now, actions); });
    }
}

void ControlDuty::askGuard(const GuardKey &key, Duration window, Time deadline, GuardReply reply)
{
    step([&](Time now, HostActions &actions) {
        const auto ask = core_.claimKey(key, window, deadline, now, actions);
        replies_.await(ask, std::move(reply));
    });
}

void ControlDuty::finishRun(const GuardKey &key, RunResult result)
{
    if (const auto ask = replies_.takeRun(key)) {
        step([&](Time now, HostActions &actions) { core_.finishRun(*ask, key, result, now, actions); });
    }
}

} // namespace medlarway
