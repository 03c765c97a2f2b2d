#include "steering/life_signs.h"

#include <algorithm>

namespace medlarway
{

bool noteProgress(LifeSigns &life, Time now)
{
    const bool suspected = life.suspectedAt.has_value();
    life.lastProgress = now;
    life.stalledFlows = 0;
    ++life.generation;
    life.suspectedAt.reset();
    life.unreachableAt.reset();
    return suspected;
}

// Each flow counts once between two signs of life, so that one client that sends again and again proves nothing.
bool noteStall(LifeSigns &life, std::uint32_t &countedIn, Time now)
{
    if (countedIn != life.generation) {
        countedIn = life.generation;
        ++life.stalledFlows;
    }
    if (life.suspectedAt || life.stalledFlows < kStalledFlowsToSuspect || now - life.lastProgress < kSilenceToSuspect) {
        return false;
    }
    return suspect(life, now);
}

bool suspect(LifeSigns &life, Time now)
{
    if (life.suspectedAt) {
        return false;
    }
    life.suspectedAt = now;
    life.lastTrial = now;
    life.trials = 0;
    life.probedAt = now;
    return true;
}

bool isUnreachable(const LifeSigns &life, Time now)
{
    return life.unreachableAt && now - *life.unreachableAt < kUnreachableLife;
}

bool dueForProbe(LifeSigns &life, Time now)
{
    if (!life.suspectedAt || isUnreachable(life, now) || now - life.probedAt < kProbeInterval) {
        return false;
    }
    life.probedAt = now;
    return true;
}

bool dueForTrial(const LifeSigns &life, Time now)
{
    return life.suspectedAt && now - life.lastTrial >= kTrialInterval * (1U << std::min(life.trials, kMostTrialDoublings));
}

void noteNewFlow(LifeSigns &life, Time now)
{
    if (life.suspectedAt) {
        life.lastTrial = now;
        ++life.trials;
    }
}

} // namespace medlarway
