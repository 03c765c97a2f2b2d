#include "load/flow_urgency.h"

#include "load/pool_share.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Whether a response comes after the bound. A host's estimate may be wrong, and a route that takes longer than its bound by nature would
// give way to the other routes of its priority forever. So only time that has passed makes a flow late: the expected response counts at
// most as what remains after the longest wait of a flow at its first SYN.
bool exceeds(Duration bound, const FlowTimes &times)
{
    return times.elapsed + std::min(times.response, bound - bound / kWaitParts) > bound;
}

} // namespace

FlowOutlook outlookOf(const FlowTimes &times)
{
    if (times.deadline > Duration{} && exceeds(times.deadline, times)) {
        return FlowOutlook::Expired;
    }
    const auto target = boundedTargetLatency(times.targetLatency, times.deadline);
    return exceeds(target, times) ? FlowOutlook::Late : FlowOutlook::OnTime;
}

// A late flow without a deadline has the time of one at its first SYN.
Duration longestWait(const FlowTimes &times)
{
    const auto target = boundedTargetLatency(times.targetLatency, times.deadline);
    auto left = target - times.elapsed;
    if (outlookOf(times) != FlowOutlook::OnTime) {
        left = times.deadline > Duration{} ? times.deadline - times.elapsed : target;
    }
    const auto untilGivenUp = std::max(Duration{}, kClientAttempt - times.elapsed);
    return std::min(longestWait(std::max(Duration{}, left)), untilGivenUp);
}

const char *outlookName(FlowOutlook outlook)
{
    switch (outlook) {
    case FlowOutlook::OnTime:
        return "on-time";
    case FlowOutlook::Late:
        return "late";
    case FlowOutlook::Expired:
        return "expired";
    }
    return "unknown";
}

} // namespace medlarway
