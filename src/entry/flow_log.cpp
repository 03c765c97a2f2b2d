#include "entry/flow_log.h"

namespace medlarway
{

namespace
{

Event eventOf(const SteeringDecision &step)
{
    switch (step.action) {
    case SteeringAction::Drop:
        return Event::FlowUnanswered;
    case SteeringAction::Reset:
        return Event::FlowReset;
    case SteeringAction::Forward:
        break;
    }
    return step.reason == SteeringReason::FoundByToken ? Event::FlowFound : Event::FlowPlaced;
}

// Milliseconds; -1 where there was no word yet.
std::int64_t ageOf(Time heardAt, Time now)
{
    return heardAt == Time{} ? -1 : std::chrono::duration_cast<std::chrono::milliseconds>(now - heardAt).count();
}

} // namespace

// The fields are made only where the line has room: a flood of openings must not cost more than a look.
void logFlow(Event event, const FlowSteering &steering, const FlowDecision &decision, Time now)
{
    if (!logTakes(event)) {
        return;
    }
    static const UpstreamRecord kNobody;
    const auto &upstream = decision.upstream == kNoUpstream ? kNobody : steering.directory().at(decision.upstream);
    const auto flow = endpointToString(decision.flow.client) + ">" + endpointToString(decision.flow.destination);
    logEvent(event, {field("flow", flow), field("reason", decision.reason), field("upstream", upstream.entry.id),
                     field("zone", upstream.entry.zone.name), field("token", fmt::format("{:08x}", upstream.token)),
                     field("running", upstream.running), field("expected", fmt::format("{:.2f}", upstream.expectedLoad)),
                     field("stalled", upstream.liveness.stalledFlows), field("version", steering.routes().version()),
                     field("entry-revision", upstream.entry.revision), field("store-age-ms", ageOf(decision.storeHeardAt, now))});
}

void logStep(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &step, Time storeHeardAt, Time now)
{
    if (step.reason != SteeringReason::KnownFlow) {
        logFlow(eventOf(step), steering, {flow, reasonName(step.reason), step.upstream, storeHeardAt}, now);
    }
}

} // namespace medlarway
