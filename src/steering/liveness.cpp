#include "steering/liveness.h"

#include <algorithm>

namespace medlarway
{

bool recordProgress(Liveness &liveness, Time now)
{
    const bool suspected = liveness.suspectedAt.has_value();
    liveness.lastProgress = now;
    liveness.stalledFlows = 0;
    ++liveness.epoch;
    liveness.suspectedAt.reset();
    liveness.unreachableAt.reset();
    return suspected;
}

// Each flow counts once per epoch, so that a single client that keeps retransmitting does not make the upstream suspected.
bool recordStall(Liveness &liveness, std::uint32_t &flowEpoch, Time now)
{
    if (flowEpoch != liveness.epoch) {
        flowEpoch = liveness.epoch;
        ++liveness.stalledFlows;
    }
    if (liveness.suspectedAt || liveness.stalledFlows < kStalledFlowsToSuspect || now - liveness.lastProgress < kSilenceToSuspect) {
        return false;
    }
    return markSuspected(liveness, now);
}

bool markSuspected(Liveness &liveness, Time now)
{
    if (liveness.suspectedAt) {
        return false;
    }
    liveness.suspectedAt = now;
    liveness.lastTrial = now;
    liveness.trials = 0;
    liveness.probedAt = now;
    return true;
}

bool isUnreachable(const Liveness &liveness, Time now)
{
    return liveness.unreachableAt && now - *liveness.unreachableAt < kUnreachableDuration;
}

bool startProbeIfDue(Liveness &liveness, Time now)
{
    if (!liveness.suspectedAt || isUnreachable(liveness, now) || now - liveness.probedAt < kProbeInterval) {
        return false;
    }
    liveness.probedAt = now;
    return true;
}

bool isTrialDue(const Liveness &liveness, Time now)
{
    return liveness.suspectedAt && now - liveness.lastTrial >= kTrialInterval * (1U << std::min(liveness.trials, kMaxTrialDoublings));
}

void recordNewFlow(Liveness &liveness, Time now)
{
    if (liveness.suspectedAt) {
        liveness.lastTrial = now;
        ++liveness.trials;
    }
}

} // namespace medlarway
