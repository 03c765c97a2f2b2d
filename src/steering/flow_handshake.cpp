// The part of FlowSteering that opens flows: SYNs, their copies, and the tokens that tell which upstream got a flow.
#include "steering/flow_steering.h"

#include <utility>

namespace medlarway
{

namespace
{

// The data that a client sends at most without an acknowledgement: 16 packets of 1,200 bytes.
constexpr std::uint32_t kMaxBytesInFlight = 16 * 1200;

} // namespace

SteeringDecision FlowSteering::onSyn(const FlowPacket &packet, const FlowRoute &route, Time now)
{
    if (holdsNewFlows_) {
        return {SteeringAction::Drop, SteeringReason::NotReady, kNoUpstream};
    }
    // Step 1. A retransmitted SYN of a flow in the table.
    const auto known = flows_.find(packet.flow);
    if (known != flows_.end()) {
        if (known->second.firstSequence == packet.sequence && routeAllows(packet.flow.destination, known->second.upstream)) {
            return onRepeatedSyn(packet, route, known->second, now);
        }
        removeFlow(packet.flow);
    }
    // Step 2. Place a new flow.
    const auto usage = usages_.indexOf(packet.flow.destination);
    discardDecisions(packet.flow);
    const auto request = requestFor(route, usages_.busyShare(usage), kNoUpstream);
    const HeldSyn arrived{0, packet.sequence, firstArrival(packet, now)};
    if (!isLimited(usage, now)) {
        cancelWait(packet.flow, now); // it was limited when its first SYN came
        const auto upstream = place(request, now);
        return upstream == kNoUpstream ? withoutUpstream(request, now)
                                       : openFlow(packet.flow, arrived, upstream, SteeringReason::Opened, now);
    }
    const auto held = held_.find(packet.flow);
    if (held != held_.end()) {
        if (held->second.sequence == packet.sequence) {
            held->second.arrivals = addArrival(held->second.arrivals, packet, now);
            return {SteeringAction::Hold, SteeringReason::Waiting, kNoUpstream};
        }
        cancelWait(packet.flow, now);
        discardDecisions(packet.flow); // the copy of the new SYN takes the place of the old one
    }
    const auto upstream = mustWait(packet, route, usage, now) ? std::nullopt : placeWithinShares(route, usage, now);
    if (!upstream) {
        return holdSyn(packet, route, usage, now);
    }
    return *upstream == kNoUpstream ? withoutUpstream(request, now)
                                    : openFlow(packet.flow, arrived, *upstream, SteeringReason::Opened, now);
}

SteeringDecision FlowSteering::openFlow(const FlowId &id, const HeldSyn &syn, UpstreamIndex upstream, SteeringReason reason, Time now)
{
    if (auto *flow = trackFlow(id, upstream, true, now)) {
        flow->synSent = true;
        flow->firstSequence = syn.sequence;
        flow->nextSequence = syn.sequence + 1;
        flow->lastSeen = syn.arrivals.latest;
        flow->lastSyn = syn.arrivals.copy;
        flow->allSynsSeen = syn.arrivals.complete;
        recordSynTarget(*flow);
        if (pools_.isLimited(flow->routeUsage)) {
            watchRequest(id, flow->routeUsage, now);
            pools_.recordOpened(flow->routeUsage, reason == SteeringReason::Released, directory_.at(upstream).entry.zone != options_.zone);
        }
    }
    return {SteeringAction::Forward, reason, upstream};
}

// A running upstream responds to a SYN within milliseconds, so a retransmission means that the upstream is down or full, or that a packet
// was lost. The SYN goes to another upstream. The client accepts the first response, and the token in its next packet shows which upstream
// sent it. The other one may respond too: see finishHandshake().
SteeringDecision FlowSteering::onRepeatedSyn(const FlowPacket &packet, const FlowRoute &route, SteeredFlow &flow, Time now)
{
    const auto arrivals = addArrival({flow.lastSeen, flow.lastSyn, flow.allSynsSeen}, packet, now);
    flow.lastSeen = arrivals.latest;
    flow.lastSyn = arrivals.copy;
    flow.allSynsSeen = arrivals.complete;
    if (!flow.synSent) {
        return repeatSyn(flow, now);
    }
    onStall(flow, now);
    const auto other = place(requestFor(route, usages_.busyShare(flow.routeUsage), flow.upstream), now);
    if (other == kNoUpstream) {
        return repeatSyn(flow, now);
    }
    rebind(flow, other);
    recordSynTarget(flow);
    return {SteeringAction::Forward, SteeringReason::SynRerouted, other};
}

// The upstream of an evacuated zone may have the flow already, so it goes on there, but gets no further SYN.
SteeringDecision FlowSteering::repeatSyn(const SteeredFlow &flow, Time now)
{
    if (directory_.at(flow.upstream).evacuated) {
        return {SteeringAction::Drop, SteeringReason::UpstreamEvacuated, flow.upstream};
    }
    if (!admitSyn(flow.upstream, now)) {
        return {SteeringAction::Drop, SteeringReason::WarmingUp, flow.upstream};
    }
    return {SteeringAction::Forward, SteeringReason::SynRepeated, flow.upstream};
}

// The upstream at which the client has opened the flow, as far as its packet shows. The token of an open flow was written by a host that
// knew.
UpstreamIndex FlowSteering::findAccepted(const SteeredFlow &flow, const FlowPacket &packet, Time now) const
{
    const auto found = directory_.findByToken(packet.token);
    if (found != kNoUpstream || !flow.synSent || directory_.tokens().isShared(packet.token)) {
        return found;
    }
    const bool severalUpstreams = flow.synTargets[1] != kNoUpstream;
    if (!showsAcceptedUpstream({flow.lastSeen, flow.lastSyn, flow.allSynsSeen}, severalUpstreams, now - packet.waited)) {
        return kNoUpstream;
    }
    if (packet.token == 0) {
        return severalUpstreams ? kNoUpstream : flow.upstream; // an upstream that shares all its tokens
    }
    // Packets may overtake the first one. One further on than a client sends without a response comes from a flow that went on elsewhere.
    const bool isEarly = packet.sequence - flow.firstSequence - 1 < kMaxBytesInFlight;
    return isEarly ? directory_.findByToken(openingToken(packet.token, flow.firstSequence + 1)) : kNoUpstream;
}

// False if the client accepted a response to its SYN but the packet does not tell whose: the flow may then be open anywhere.
bool FlowSteering::rebindByToken(SteeredFlow &flow, const FlowPacket &packet, Time now)
{
    const auto accepted = findAccepted(flow, packet, now);
    if (accepted == kNoUpstream || !routeAllows(packet.flow.destination, accepted)) {
        return !flow.synSent || packet.rst;
    }
    if (accepted != flow.upstream) {
        rebind(flow, accepted);
    }
    return true;
}

// Further copies than a client sends are not recorded.
void FlowSteering::recordSynTarget(SteeredFlow &flow)
{
    for (auto &target : flow.synTargets) {
        if (target == kNoUpstream || target == flow.upstream) {
            target = flow.upstream;
            return;
        }
    }
}

// Each other upstream that got a copy of the SYN may have responded as well. It repeats its SYN-ACK as long as nothing acknowledges it.
void FlowSteering::finishHandshake(SteeredFlow &flow, const FlowPacket &packet, Time now)
{
    flow.synSent = false;
    flow.pinned = true;
    flow.acknowledged = packet.acknowledged;
    onProgress(flow, now);
    if (packet.token != 0 && !packet.rst) {
        directory_.confirmAddress(flow.upstream, now);
    }
    for (const auto target : flow.synTargets) {
        if (target != kNoUpstream && target != flow.upstream && !packet.rst) {
            supersededSyns_.push_back({packet.flow, target, flow.upstream});
        }
    }
}

// A late copy of the SYN of an open flow must not bring back the opening token.
FlowToken FlowSteering::tokenFor(const FlowPacket &packet, UpstreamIndex upstream) const
{
    const auto token = directory_.at(upstream).flowToken;
    const auto *flow = packet.syn ? findFlow(packet.flow) : nullptr;
    const bool isOpening = packet.syn && (flow == nullptr || flow->synSent);
    return isOpening && token != 0 ? openingToken(token, packet.sequence + 1) : token;
}

std::vector<SupersededSyn> FlowSteering::takeSupersededSyns()
{
    return std::exchange(supersededSyns_, {});
}

} // namespace medlarway
