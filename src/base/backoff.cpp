#include "base/backoff.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Keeps the product below far from an overflow.
constexpr std::uint32_t kMaxDoublings = 8;

} // namespace

Duration backoffAfter(std::uint32_t failures, Duration shortest, Duration longest, Random &random)
{
    const auto doubled = shortest * (1U << std::min(failures, kMaxDoublings));
    const auto delay = std::min(longest, doubled);
    return std::chrono::duration_cast<Duration>(delay * (0.5 + 0.5 * random.unit()));
}

} // namespace medlarway
