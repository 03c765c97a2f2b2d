#pragma once

#include "base/log.h"
#include "steering/flow_steering.h"

#include <string_view>

namespace medlarway
{

/// What the decision on a flow went by, beside the steering itself.
struct FlowDecision {
    FlowId flow;
    std::string_view reason;
    UpstreamIndex upstream = kNoUpstream;
    Time storeHeardAt; ///< the epoch where the platform never answered
};

/// Writes the line of a decision on a flow: Event::FlowPlaced, FlowFound, FlowReset or FlowUnanswered.
void logFlow(Event event, const FlowSteering &steering, const FlowDecision &decision, Time now);

/// Writes the line of a step; none for a packet that follows an earlier decision.
void logStep(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &step, Time storeHeardAt, Time now);

} // namespace medlarway
