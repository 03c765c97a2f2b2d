#include "balance/retry_budget.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

void RetryBudget::deposit()
{
    tokens_ = std::min(tokens_ + kTokensPerRequest, kMaxTokens);
}

bool RetryBudget::tryWithdraw()
{
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

// Doubles with every attempt. The jitter of +/- 50% spreads out the retries of requests that failed together.
Duration retryBackoff(std::uint32_t attempts, Random &random)
{
    constexpr Duration kBaseBackoff = std::chrono::milliseconds{2};
    constexpr std::uint32_t kMaxDoublings = 6;
    const Duration backoff = kBaseBackoff * (1U << std::min(attempts, kMaxDoublings));
    return backoff / 2 + Duration{random.below(static_cast<std::uint64_t>(backoff.count()))};
}

} // namespace medlarway
