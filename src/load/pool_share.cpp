#include "load/pool_share.h"

#include <algorithm>
#include <cmath>

namespace medlarway
{

namespace
{

// Part of the limit of another zone's pool that counts as free if nothing is told: a host tells its demand once it exceeds half of its
// share.
constexpr double kUntoldPart = 0.5;

// A share by demand is at least this part of an equal share, so that a host whose demand has just risen is not refused room by figures from
// before the rise.
constexpr double kMinPartOfEqualShare = 0.5;

// A host can't be sure that a long queue is due to other hosts.
constexpr double kMinCorrection = 0.6;

} // namespace

double poolDepth(Duration targetLatency, Duration processing, std::uint32_t higherPriorities)
{
    const auto response = static_cast<double>(targetLatency.count()) / kTargetLatencyParts;
    const auto depth = std::clamp(response / static_cast<double>(std::max<Duration::rep>(1, processing.count())), kMinDepth, kMaxDepth);
    return std::max(kMinDepth, depth * std::pow(kLowerPriorityDepth, higherPriorities));
}

// Hosts that told nothing use at most half of an equal share each, which stays theirs.
double ownZoneShare(const OwnZoneView &view)
{
    const auto hosts = std::max(1.0, view.hosts);
    const auto equal = view.limit / hosts;
    if (!view.toldDemand || view.ownDemand <= 0) {
        return equal;
    }
    const auto reserved = equal * kUntoldPart * std::max(0.0, hosts - std::max(1.0, view.toldHosts));
    const auto total = std::max(*view.toldDemand, view.ownDemand);
    // What nobody asks for is divided equally.
    const auto unclaimed = view.limit - reserved - total;
    if (unclaimed >= 0) {
        return std::max(equal, view.ownDemand + unclaimed / hosts);
    }
    return std::clamp((view.limit - reserved) * view.ownDemand / total, equal * kMinPartOfEqualShare, view.limit);
}

// Once slots are all in use, the response time divided by the processing time is the number of requests per slot. Responses that show free
// slots count more than a told demand that leaves none: it contains requests that upstreams dropped and callers that come back.
double otherZoneShare(const OtherZoneView &view)
{
    const auto measuredFree = view.depth > 1 ? std::clamp((view.depth - view.requestsPerSlot) / (view.depth - 1), 0.0, 1.0) : 0.0;
    const auto untold = view.limit * kUntoldPart;
    const auto free = view.toldDemand ? std::max(untold * measuredFree, view.limit - *view.toldDemand) : untold;
    return free * measuredFree / (std::max(1.0, view.hosts) * std::max(1.0, view.spillingZones));
}

// While responses show free slots, a host may exceed its share: up to twice where others use little of theirs, and by the random peaks of
// its own load, which are independent of those of other hosts. With hundreds of hosts, whose shares are one or two requests, most of the
// capacity would be lost otherwise. If the pool is used beyond the depth, the square root keeps the fleet from oscillating: all hosts
// correct at the same time, by a response that is over.
double correctedShare(double share, double depth, double requestsPerSlot)
{
    constexpr double kPeakDeviations = 3;
    const auto free = depth > 1 ? std::clamp((depth - requestsPerSlot) / (depth - 1), 0.0, 1.0) : 0.0;
    const auto excess = std::max(share, kPeakDeviations * std::sqrt(std::max(0.0, share))) * free;
    return share * std::clamp(std::sqrt(depth / std::max(1.0, requestsPerSlot)), kMinCorrection, 1.0) + excess;
}

} // namespace medlarway
