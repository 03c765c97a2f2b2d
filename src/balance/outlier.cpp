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

bool recordSuccess(OutlierState &state, Time now)
{
    const bool wasEjected = state.ejectedUntil.has_value();
    state = OutlierState{};
    state.lastSuccess = now;
    return wasEjected;
}

// Each ejection without a success in between lasts twice as long as the previous one, up to a limit. The jitter
// keeps hosts from probing at the same time. A single failed probe ejects again.
bool recordFailure(OutlierState &state, bool mayEject, Random &random, Time now)
{
    constexpr std::uint32_t kFailuresToEject = 3;
    constexpr Duration kBaseEjection = std::chrono::milliseconds{500};
    constexpr std::uint32_t kMaxDoublings = 4;

    // Step 1. Count the failure. During an ejection it comes from a request sent earlier and has no further effect.
    ++state.consecutiveFailures;
    if (isEjected(state, now)) {
        return false;
    }

    // Step 2. Eject only after enough failures, or after a failed probe. The latter ignores `mayEject`, since the
    // upstream was among the ejected ones already.
    const bool probeFailed = isProbing(state, now);
    if (!probeFailed && (state.consecutiveFailures < kFailuresToEject || !mayEject)) {
        return false;
    }

    // Step 3. Eject for the duration +/- 50%.
    const Duration duration = kBaseEjection * (1U << std::min(state.ejections, kMaxDoublings));
    state.ejectedUntil = now + duration / 2 + Duration{random.below(static_cast<std::uint64_t>(duration.count()))};
    ++state.ejections;
    return true;
}

bool mayEjectMore(std::size_t ejected, std::size_t listed)
{
    return 2 * (ejected + 1) <= listed;
}

} // namespace medlarway
