#pragma once

#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// How much a message matters when the budget runs short; lower ones are dropped first.
enum class MessagePriority : std::uint8_t {
    Low, ///< repeated anyway, such as digests
    Normal, ///< news of the catalogue and of load
    High, ///< probes, whose loss would look like a host's; requests that callers wait for
};

/// A token bucket of bytes with a reserve that only the more important messages may use.
class ByteBudget
{
public:
    /// Bytes a second on the long run; the burst is how many may be sent at once after a pause.
    ByteBudget(std::uint64_t bytesPerSecond, std::uint64_t burstBytes);

    /// Takes the bytes where the priority may have them; false means drop the message.
    bool take(std::uint64_t bytes, MessagePriority priority, Time now);

    /// Puts another rate in force.
    void setRate(std::uint64_t bytesPerSecond);

private:
    double rate_; ///< bytes a second
    double burst_; ///< bytes
    double available_; ///< bytes
    Time filled_{};
    bool started_ = false;
};

} // namespace medlarway
