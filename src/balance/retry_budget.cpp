#include "balance/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

void RetryBudget::earn()
{
    tokens_ = std::min(tokens_ + kShareOfFresh, kLargestBudget);
}

bool RetryBudget::spend()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

// Doubles with every attempt. The jitter spans the whole step, so that requests that
// failed together don't come back together.
Duration retryBackoff(std::uint32_t attempts, Random &random)
{
    constexpr Duration kFirstStep = std::chrono::milliseconds{2};
    constexpr std::uint32_t kMostDoublings = 6;
    const Duration step = kFirstStep * (1U << std::min(attempts, kMostDoublings));
    return step / 2 + Duration{random.below(static_cast<std::uint64_t>(step.count()))};
}

} // namespace medlarway
