#include "balance/outlier.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

bool isEjected(const OutlierState &state, Time now)
{
    return state.ejectedUntil && now < *state.ejectedUntil;
}

bool isProbing(const OutlierState &state, Time now)
{
    return state.ejectedUntil && now >= *state.ejectedUntil;
}

bool noteAnswer(OutlierState &state, Time now)
{
    const bool wasEjected = state.ejectedUntil.has_value();
    state = OutlierState{};
    state.lastAnswer = now;
    return wasEjected;
}

// Each ejection in a row lasts twice as long as the one before, up to a bound, with jitter so
// that hosts don't probe in step. A failed probe ejects at once.
bool noteFailure(OutlierState &state, bool mayEject, Random &random, Time now)
{
    constexpr std::uint32_t kFailuresToEject = 3;
    constexpr Duration kFirstEjection = std::chrono::milliseconds{500};
    constexpr std::uint32_t kMostDoublings = 4;

    // Step 1. Count; failures of requests that were sent before the ejection change nothing.
    ++state.failuresInRow;
    if (isEjected(state, now)) {
        return false;
    }

    // Step 2. A failed probe keeps the upstream out, whatever the cap: it is out already.
    const bool probeFailed = isProbing(state, now);
    if (!probeFailed && (state.failuresInRow < kFailuresToEject || !mayEject)) {
        return false;
    }

    // Step 3. Eject.
    const Duration span = kFirstEjection * (1U << std::min(state.ejections, kMostDoublings));
    state.ejectedUntil = now + span / 2 + Duration{random.below(static_cast<std::uint64_t>(span.count()))};
    ++state.ejections;
    return true;
}

bool mayEjectMore(std::size_t ejected, std::size_t listed)
{
    return 2 * (ejected + 1) <= listed;
}

} // namespace medlarway
