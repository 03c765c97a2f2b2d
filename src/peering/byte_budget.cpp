#include "peering/byte_budget.h"

#include <algorithm>
#include <array>

namespace medlarway
{

namespace
{

// Share of the burst that is reserved for higher priorities, indexed by MessagePriority.
constexpr std::array<double, 3> kReservedShare{0.5, 0.25, 0.0};

} // namespace

ByteBudget::ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes)
    : rate_(static_cast<double>(bytesPerSecond))
    , burst_(static_cast<double>(burstBytes))
    , available_(static_cast<double>(burstBytes))
{
}

void ByteBudget::setRate(std::uint64_t bytesPerSecond)
{
    rate_ = static_cast<double>(bytesPerSecond);
}

bool ByteBudget::take(std::uint64_t bytes, MessagePriority priority, Time now)
{
    if (started_ && now > lastRefill_) {
        const std::chrono::duration<double> elapsed = now - lastRefill_;
        available_ = std::min(burst_, available_ + elapsed.count() * rate_);
    }
    started_ = true;
    lastRefill_ = std::max(lastRefill_, now);
    const auto size = static_cast<double>(bytes);
    if (available_ - size < burst_ * kReservedShare.at(static_cast<std::size_t>(priority))) {
        return false;
    }
    available_ -= size;
    return true;
}

} // namespace medlarway
