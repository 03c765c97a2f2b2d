#pragma once

#include "base/log.h"
#include "steering/flow_steering.h"

#include <string_view>
#include <vector>

namespace medlarway
{

/// Input of a flow's log line besides the steering state.
struct FlowLogEntry {
    FlowId flow;
    std::string_view reason;
    UpstreamIndex upstream = kNoUpstream;
    Time lastStoreResponse; ///< the epoch if there was none
    Duration waited{}; ///< how long its SYN was held
};

/// The event of a decision on a flow.
Event eventOf(const SteeringDecision &decision);

/// Logs the services that came into overload or left it.
void logOverload(const std::vector<OverloadChange> &changes);

/// Logs a decision on a flow. The event is FlowPlaced, FlowFound, FlowReset or FlowUnanswered.
void logFlow(Event event, const FlowSteering &steering, const FlowLogEntry &entry, Time now);

/// Logs the decision on a packet, except for packets of flows that are in the table already and for SYNs that are held, which are logged
/// when their wait ends.
void logDecision(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &decision, Time lastStoreResponse, Time now);

} // namespace medlarway
