#pragma once

#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// Priority of a message when the budget runs low; lower priorities are dropped first.
enum class MessagePriority : std::uint8_t {
    Low, ///< sent periodically anyway, such as digests
    Normal, ///< catalogue updates and load reports
    High, ///< probes, whose loss would look like the failure of a host; requests that callers wait for
};

/// A token bucket of bytes in which a part of the burst is reserved for higher priorities.
class ByteBudget
{
public:
    /// The rate applies on average; the burst is the bucket's capacity: how many bytes may be sent at once after an idle time.
    ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes);

    /// Consumes the bytes if the budget allows it for the priority; on false the caller must drop the message.
    bool take(std::uint64_t bytes, MessagePriority priority, Time now);

    /// Changes the rate.
    void setRate(std::uint64_t bytesPerSecond);

private:
    double rate_; ///< bytes per second
    double burst_; ///< bytes
    double available_; ///< bytes
    Time lastRefill_{};
    bool started_ = false;
};

} // namespace medlarway
