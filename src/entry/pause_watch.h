#pragma once

#include "base/time.h"

#include <optional>

namespace medlarway
{

/// Notices that the process did not run for a while: it was stopped, its machine was suspended, or others had the processor.
class PauseWatch
{
public:
    /// The process runs now. Gives for how long it did not, where that is above kPauseBound. The time is a span since any fixed moment
    /// that also counts while the machine is suspended, and never falls.
    std::optional<Duration> noteRunning(Duration sinceBoot)
    {
        const auto gap = last_ ? sinceBoot - *last_ : Duration{};
        last_ = sinceBoot;
        return gap > kPauseBound ? std::optional<Duration>(gap) : std::nullopt;
    }

    /// Above what a loaded host needs from one tick to the next (200 ms), below the 800 ms that a client's last copy of an opening waits.
    static constexpr Duration kPauseBound = std::chrono::milliseconds{700};

private:
    std::optional<Duration> last_;
};

/// The time since the machine's start, time in which it was suspended included.
Duration timeSinceBoot();

} // namespace medlarway
