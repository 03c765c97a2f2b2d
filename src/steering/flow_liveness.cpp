// The part of FlowSteering that suspects upstreams and zones whose flows stall, and ends the flows of those that are down.
#include "steering/flow_steering.h"

#include "steering/liveness.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Minimum number of upstreams with stalled flows in a zone before the whole zone is suspected.
constexpr std::ptrdiff_t kStalledUpstreamsToSuspectZone = 2;

} // namespace

void FlowSteering::onStall(SteeredFlow &flow, Time now)
{
    flow.stalled = true;
    auto &upstream = directory_.at(flow.upstream);
    // A delisted upstream has most likely terminated: a single stalled flow is enough to suspect it.
    const bool delisted = upstream.presence == Presence::Removed;
    if (recordStall(upstream.liveness, flow.stallEpoch, now) || (delisted && markSuspected(upstream.liveness, now))) {
        events_.push_back({flow.upstream, LivenessEventKind::Suspected});
    } else if (startProbeIfDue(upstream.liveness, now)) {
        events_.push_back({flow.upstream, LivenessEventKind::StillSuspected});
    }
    if (upstream.entry.zone != options_.zone && recordStall(zoneLiveness_[upstream.entry.zone.name], flow.zoneStallEpoch, now)) {
        suspectZone(upstream.entry.zone, now);
    }
}

// This host has only a few flows to each upstream of another zone, too few to suspect them one by one when the zone is partitioned. Stalled
// flows of a single upstream are no evidence against its zone.
void FlowSteering::suspectZone(const AvailabilityZone &zone, Time now)
{
    const auto stalled = std::count_if(directory_.all().begin(), directory_.all().end(), [&zone](const UpstreamRecord &upstream) {
        return upstream.entry.zone == zone && upstream.liveness.stalledFlows > 0;
    });
    if (stalled < kStalledUpstreamsToSuspectZone) {
        zoneLiveness_[zone.name].suspectedAt.reset();
        return;
    }
    for (UpstreamIndex index = 0; index < directory_.all().size(); ++index) {
        auto &upstream = directory_.at(index);
        if (!upstream.entry.id.empty() && upstream.entry.zone == zone && markSuspected(upstream.liveness, now)) {
            events_.push_back({index, LivenessEventKind::Suspected});
        }
    }
}

std::vector<AbortedFlow> FlowSteering::markUnreachable(UpstreamIndex upstream, Time now)
{
    std::vector<AbortedFlow> flows;
    auto &liveness = directory_.at(upstream).liveness;
    if (!liveness.suspectedAt) {
        return flows;
    }
    liveness.unreachableAt = now;
    for (const auto &[id, flow] : flows_) {
        if (flow.upstream == upstream && !flow.synSent && !flow.closing) {
            flows.push_back({id, flow.acknowledged});
        }
    }
    for (const auto &aborted : flows) {
        removeFlow(aborted.flow);
    }
    return flows;
}

} // namespace medlarway
