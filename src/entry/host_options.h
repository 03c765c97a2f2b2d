#pragma once

#include "entry/peer_feed.h"
#include "platform/store_feed.h"
#include "replication/timing.h"
#include "settings/entry_settings.h"
#include "steering/flow_steering.h"

#include <vector>

namespace medlarway
{

/// Options of an entry host's parts, derived from its settings.
SteeringOptions steeringOptions(const EntrySettings &settings);

/// The evacuation bound counts like the drain bound where the platform has one.
ReplicationBounds replicationBounds(const EntrySettings &settings);

std::vector<HostId> seedIds(const EntrySettings &settings);

/// Reads the key files. Throws Error.
PeerFeedOptions peerFeedOptions(const EntrySettings &settings);

StoreFeedOptions storeFeedOptions(const EntrySettings &settings);

} // namespace medlarway
