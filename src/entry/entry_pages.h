#pragma once

#include "entry/packet_socket.h"
#include "steering/flow_steering.h"

#include <string>

namespace medlarway
{

/// Counters of the packet path in the Prometheus text format, behind those of the process.
std::string entryMetrics(const FlowSteering &steering, const PacketSocketCounts &counts);

/// What this host believes: upstreams with load and signs of life, version and flows, as one JSON object.
std::string entryState(const FlowSteering &steering, Time now);

} // namespace medlarway
