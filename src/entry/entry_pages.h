#pragma once

#include "entry/packet_socket.h"
#include "steering/flow_steering.h"

#include <string>
#include <vector>

namespace medlarway
{

/// Counters of the packet path in the Prometheus text format, behind those of the process.
std::string entryMetrics(const FlowSteering &steering, const PacketSocketCounts &counts);

/// What the host knows beside its steering.
struct EntryStatus {
    std::string name;
    std::string zone;
    bool ready = false;
    bool stopping = false;
    bool storeAnswers = false;
    Time storeHeardAt; ///< the epoch where it never answered
    std::uint64_t storeRevision = 0;
    std::uint64_t knownRevision = 0; ///< above the store's where a peer told more
    std::vector<Endpoint> peers; ///< control addresses of entry hosts heard of lately
};

/// What this host believes: upstreams with load and signs of life, where it has that from and how old it is, as one JSON object.
std::string entryState(const FlowSteering &steering, const EntryStatus &status, Time now);

/// Flows that this host remembers, at most so many, with token and upstream, as one JSON object.
std::string entryFlows(const FlowSteering &steering, std::size_t most, Time now);

} // namespace medlarway
