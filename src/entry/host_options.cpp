#include "entry/host_options.h"

#include "base/hash.h"
#include "entry/store_pace.h"
#include "peering/boot_number.h"
#include "peering/key_file.h"

#include <algorithm>

namespace medlarway
{

SteeringOptions steeringOptions(const EntrySettings &settings)
{
    SteeringOptions options;
    options.zone = settings.zone;
    options.seed = combineHash(settings.packets.address, settings.packets.port);
    options.maxFlows = settings.flows;
    if (settings.warmUpOverage || settings.warmUpSlack) {
        const WarmUpTolerance none;
        options.warmUp = {settings.warmUpOverage.value_or(none.overage), settings.warmUpSlack.value_or(none.slack)};
    }
    return options;
}

ReplicationBounds replicationBounds(const EntrySettings &settings)
{
    return {std::min(settings.drainBound, settings.evacuationBound.value_or(settings.drainBound)), settings.configBound};
}

std::vector<HostId> seedIds(const EntrySettings &settings)
{
    std::vector<HostId> ids;
    for (const auto &seed : settings.seeds) {
        ids.push_back(hostIdOf({seed.address, settings.peers.port}));
    }
    return ids;
}

PeerFeedOptions peerFeedOptions(const EntrySettings &settings)
{
    PeerFeedOptions options;
    options.listen = settings.peers;
    options.follower.self = hostIdOf(settings.peers);
    options.follower.control = settings.control;
    options.follower.zone = settings.zone;
    options.follower.seeds = seedIds(settings);
    options.follower.timing = timingFor(replicationBounds(settings));
    options.follower.seed = combineHash(hashBytes(settings.name), bootNumberFromClock());
    if (!settings.keyFile.empty()) {
        options.keys = loadPeerKeys(settings.keyFile, settings.previousKeyFile);
    }
    return options;
}

StoreFeedOptions storeFeedOptions(const EntrySettings &settings)
{
    StoreFeedOptions options;
    options.address = settings.store;
    options.seed = combineHash(settings.packets.address, settings.store.address);
    options.timeouts = storeTimeouts(timingFor(replicationBounds(settings)));
    return options;
}

} // namespace medlarway
