#include "daemon/control.h"

#include "base/errors.h"
#include "base/hash.h"
#include "peering/boot_number.h"
#include "peering/key_file.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kControlRingCapacity = 8192;

Time steadyNow()
{
    return std::chrono::steady_clock::now();
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

ControlWorker::ControlWorker(const Settings &settings, ProxyEngine &engine)
    : settings_(settings)
    , self_(hostIdOf(settings))
    , boot_(bootNumberFromClock())
    , engine_(engine)
    , core_(coreOptions(settings, boot_), steadyNow())
    , thread_("control", kControlRingCapacity)
    , timer_(thread_.context())
{
    if (settings_.peers) {
        openPeerSockets();
    }
}

void ControlWorker::openPeerSockets()
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
    relay_ = std::make_unique<RelayWorker>(self_, peers.listen, boot_, options.keys, [this](HostId from, const RelayedDatagram &datagram) {
        engine_.deliverRelayedDatagram(from, datagram);
    });
}

ProxyPorts ControlWorker::ports()
{
    ProxyPorts ports;
    ports.claimKey = [this](const GuardKey &key, Duration window, Time deadline, const GuardReply &reply) {
        const bool posted = thread_.post([this, key, window, deadline, reply] { claimKey(key, window, deadline, reply); });
        if (!posted) {
            reply(GuardVerdict::Refused, Time{});
        }
    };
    ports.finishRun = [this](const GuardKey &key, RunResult result) { thread_.post([this, key, result] { finishRun(key, result); }); };
    if (!settings_.peers) {
        return ports;
    }
    ports.sendSlotMessage = [this](const std::string &service, HostId to, const SlotMessage &message) {
        thread_.post([this, service, to, message] { link_->send(to, ServiceSlotMessage{service, message}, steadyNow()); });
    };
    ports.sendFlowMessage = [this](const std::string &service, HostId to, const FlowMessage &message) {
        thread_.post([this, service, to, message] { link_->send(to, ServiceFlowMessage{service, message}, steadyNow()); });
    };
    ports.relayDatagram = [this](HostId to, const RelayedDatagram &datagram) { relay_->relay(to, datagram); };
    return ports;
}

void ControlWorker::start(SetWatchedKeys setWatchedKeys)
{
    setWatchedKeys_ = std::move(setWatchedKeys);
    thread_.post([this] {
        updateWatchedKeys();
        applyHostLists();
        step([this](Time now, HostActions &actions) { core_.tick(now, actions); });
    });
    if (relay_) {
        relay_->start();
    }
    thread_.start();
}

// Runs one step of the cores, performs the resulting actions, and arms the timer for the next tick.
void ControlWorker::step(const Step &work)
{
    const auto now = steadyNow();
    HostActions actions;
    work(now, actions);
    perform(actions, now);
    serveWhenReady(now);
    armTimer();
}

void ControlWorker::armTimer()
{
    timer_.expires_at(core_.nextTick());
    timer_.async_wait([this](const boost::system::error_code &error) {
        if (!error) {
            step([this](Time now, HostActions &actions) { core_.tick(now, actions); });
        }
    });
}

bool ControlWorker::offer(const PlatformUpdate &update)
{
    return thread_.post([this, update] { std::visit([this](const auto &value) { applyUpdate(value); }, update); });
}

void ControlWorker::applySettings(const Settings &settings)
{
    std::optional<PeerKeys> keys;
    if (settings_.peers && settings.peers) {
        keys = loadPeerKeys(settings.peers->keyFile, settings.peers->previousKeyFile);
    }
    thread_.post([this, settings, keys] {
        settings_ = settings;
        if (link_ && keys) {
            link_->setRates(settings.peers->bytesPerSecond, settings.peers->requestBytesPerSecond);
            link_->setKeys(*keys);
            relay_->setKeys(*keys);
        }
    });
}

void ControlWorker::beginLeave()
{
    thread_.post([this] {
        leaving_ = true;
        step([this](Time now, HostActions &actions) { core_.leave(now, actions); });
    });
}

void ControlWorker::depart()
{
    thread_.call<bool>(
        [this] {
            step([this](Time now, HostActions &actions) { core_.depart(now, actions); });
            return true;
        },
        false);
}

std::shared_ptr<const Catalogue> ControlWorker::catalogueInForce() const
{
    return inForce_.load();
}

bool ControlWorker::alive()
{
    return thread_.call<bool>([] { return true; }, false);
}

std::string ControlWorker::stateAsJson()
{
    return thread_.call<std::string>([this] { return dump(); }, R"({"error":"the control thread does not answer"})");
}

void ControlWorker::stop()
{
    if (relay_) {
        relay_->stop();
    }
    thread_.stop();
}

// A shard that is missing from the new index was removed at that index's revision.
void ControlWorker::applyUpdate(const PlatformIndex &index)
{
    const auto previous = std::exchange(index_, index);
    step([&](Time now, HostActions &actions) {
        core_.learnShards(index.shards, actions);
        for (const auto &shard : previous.shards) {
            if (std::find(index.shards.begin(), index.shards.end(), shard) == index.shards.end()) {
                core_.removeShard(shard, index.revision, now, actions);
            }
        }
    });
    updateWatchedKeys();
    applyHostLists();
}

void ControlWorker::applyUpdate(const CatalogueShard &shard)
{
    if (shard.revision < core_.catalogue().shardRevision(shard.name)) {
        reportError(ErrorKind::StaleRevision, "shard " + shard.name);
    }
    step([&](Time now, HostActions &actions) { core_.offerShard(shard, now, actions); });
}

void ControlWorker::applyUpdate(const HostList &list)
{
    hostLists_.insert_or_assign(list.zone.name, list);
    applyHostLists();
}

// Passes the host list to the cores only when the lists of all zones have been read: with a partial list the key
// guard would compute its quorum from too few hosts and accept a minority as a majority.
void ControlWorker::applyHostLists()
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

void ControlWorker::claimKey(const GuardKey &key, Duration window, Time deadline, GuardReply reply)
{
    step([&](Time now, HostActions &actions) {
        const auto claim = core_.claimKey(key, window, deadline, now, actions);
        replies_.await(claim, std::move(reply));
    });
}

void ControlWorker::finishRun(const GuardKey &key, RunResult result)
{
    if (const auto claim = replies_.takeRun(key)) {
        step([&](Time now, HostActions &actions) { core_.finishRun(*claim, key, result, now, actions); });
    }
}

} // namespace medlarway
