#include "entry/flow_log.h"

namespace medlarway
{

namespace
{

// Age of the last store response in milliseconds; -1 if there was none yet.
std::int64_t ageMs(Time receivedAt, Time now)
{
    return receivedAt == Time{} ? -1 : inMilliseconds(now - receivedAt);
}

} // namespace

Event eventOf(const SteeringDecision &decision)
{
    switch (decision.action) {
    case SteeringAction::Drop:
    case SteeringAction::Hold:
        return Event::FlowUnanswered;
    case SteeringAction::Reset:
        return Event::FlowReset;
    case SteeringAction::Forward:
        break;
    }
    return decision.reason == SteeringReason::FoundByToken ? Event::FlowFound : Event::FlowPlaced;
}

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
                     field("zone", upstream.entry.zone.name), field("token", fmt::format("{:08x}", upstream.flowToken)),
                     field("running", upstream.running), field("expected", fmt::format("{:.2f}", upstream.expectedLoad)),
                     field("stalled", upstream.liveness.stalledFlows), field("version", steering.routes().version()),
                     field("entry-revision", revisionToString(upstream.entry.revision)),
                     field("store-age-ms", ageMs(entry.lastStoreResponse, now)), field("waited-ms", inMilliseconds(entry.waited))});
}

void logOverload(const std::vector<OverloadChange> &changes)
{
    for (const auto &change : changes) {
        logEvent(change.began ? Event::OverloadBegan : Event::OverloadEnded,
                 {field("service", change.service), field("slots", change.ownSlots), field("load", fmt::format("{:.1f}", change.ownLoad)),
                  field("share", fmt::format("{:.1f}", change.smallestShare.value_or(0))),
                  field("requests-per-slot", fmt::format("{:.2f}", change.requestsPerSlot)),
                  field("demand", fmt::format("{:.1f}", change.demand)),
                  field("told", change.toldDemand ? fmt::format("{:.1f}", *change.toldDemand) : "nothing")});
    }
}

void logDecision(const FlowSteering &steering, const FlowId &flow, const SteeringDecision &decision, Time lastStoreResponse, Time now)
{
    if (decision.reason != SteeringReason::KnownFlow && decision.action != SteeringAction::Hold) {
        logFlow(eventOf(decision), steering, {flow, reasonName(decision.reason), decision.upstream, lastStoreResponse}, now);
    }
}

} // namespace medlarway
