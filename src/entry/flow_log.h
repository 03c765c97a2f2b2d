#pragma once

#include "base/log.h"
#include "steering/flow_steering.h"

#include <string_view>

namespace medlarway
{

/// Input of a flow's log line besides the steering state.
struct FlowLogEntry {
    FlowId flow;
    std::string_view reason;
    UpstreamIndex upstream = kNoUpstream;
    Time lastStoreResponse; ///< the epoch if there was none
};

/// Logs a decision on a flow. The event is FlowPlaced, FlowFound, FlowReset or FlowUnanswered.
void logFlow(Event event, const FlowSteering &steering, const FlowLogEntry &entry, Time now);

/// Logs the decision on a packet, except for packets of flows that are in the table already.
void logDecision(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &decision, Time lastStoreResponse, Time now);

} // namespace medlarway
