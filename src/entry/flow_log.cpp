#include "entry/flow_log.h"

namespace medlarway
{

namespace
{

Event eventOf(const SteeringDecision &decision)
{
    switch (decision.action) {
    case SteeringAction::Drop:
        return Event::FlowUnanswered;
    case SteeringAction::Reset:
        return Event::FlowReset;
    case SteeringAction::Forward:
        break;
    }
    return decision.reason == SteeringReason::FoundByToken ? Event::FlowFound : Event::FlowPlaced;
}

// Age of the last store response in milliseconds; -1 if there was none yet.
std::int64_t ageMs(Time receivedAt, Time now)
{
    return receivedAt == Time{} ? -1 : inMilliseconds(now - receivedAt);
}

} // namespace

// The fields are formatted only if the line will be written, so that a flood of SYNs costs no more than the check.
void logFlow(Event event, const FlowSteering &steering, const FlowLogEntry &entry, Time now)
{
    if (!logTakes(event)) {
        return;
    }
    static const UpstreamRecord kNoRecord;
    const auto &upstream = entry.upstream == kNoUpstream ? kNoRecord : steering.directory().at(entry.upstream);
    const auto flow = endpointToString(entry.flow.client) + ">" + endpointToString(entry.flow.destination);
    logEvent(event, {field("flow", flow), field("reason", entry.reason), field("upstream", upstream.entry.id),
                     field("zone", upstream.entry.zone.name), field("token", fmt::format("{:08x}", upstream.token)),
                     field("running", upstream.running), field("expected", fmt::format("{:.2f}", upstream.expectedLoad)),
                     field("stalled", upstream.liveness.stalledFlows), field("version", steering.routes().version()),
                     field("entry-revision", revisionToString(upstream.entry.revision)),
                     field("store-age-ms", ageMs(entry.lastStoreResponse, now))});
}

void logDecision(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &decision, Time lastStoreResponse, Time now)
{
    if (decision.reason != SteeringReason::KnownFlow) {
        logFlow(eventOf(decision), steering, {flow, reasonName(decision.reason), decision.upstream, lastStoreResponse}, now);
    }
}

} // namespace medlarway
