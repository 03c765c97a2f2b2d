#pragma once

#include "entry/packet_socket.h"
#include "steering/flow_steering.h"

#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Metrics in the Prometheus text format: the counters of the process, followed by those of the packet path.
std::string entryMetrics(const FlowSteering &steering, const PacketSocketCounts &counts);

/// State of the host outside of FlowSteering.
struct EntryStatus {
    std::string name;
    std::string zone;
    bool ready = false;
    bool stopping = false;
    bool storeReachable = false; ///< the last request to the store got a response
    Time lastStoreResponse; ///< the epoch if there was none
    Revision storeRevision; ///< revision up to which the store feed is complete
    Revision knownRevision; ///< revision up to which the data is complete, whoever supplied it
    Time confirmedAt; ///< when the platform last confirmed the data, to this host or to one that passed it on; Time{} if never
    HostId self;
    HostId source; ///< the host that this one follows, or itself
    std::string_view readReason; ///< why it reads the platform
    std::size_t zoneHosts = 0; ///< known hosts in its zone
    std::size_t heldRequests = 0; ///< requests of followers that wait for news
    std::vector<Endpoint> peers; ///< control addresses of entry hosts that were seen recently
};

/// The upstreams with their load and liveness, and the source and age of this data, as a JSON object.
std::string entryState(const FlowSteering &steering, const EntryStatus &status, Time now);

/// Up to maxFlows flows of the flow table with their tokens and upstreams, as a JSON object.
std::string entryFlows(const FlowSteering &steering, std::size_t maxFlows, Time now);

} // namespace medlarway
