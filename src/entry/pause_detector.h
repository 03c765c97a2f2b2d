#pragma once

#include "base/time.h"

#include <optional>

namespace medlarway
{

/// Detects that the process did not run for a while, because it was stopped, its machine was suspended or it got no CPU time.
class PauseDetector
{
public:
    /// Records that the process is running. Returns the time since the previous call if it exceeds kMinPause. sinceBoot is monotonic and
    /// must include the time in which the machine was suspended; see timeSinceBoot().
    std::optional<Duration> recordRunning(Duration sinceBoot)
    {
        const auto gap = last_ ? sinceBoot - *last_ : Duration{};
        last_ = sinceBoot;
        return gap > kMinPause ? std::optional<Duration>(gap) : std::nullopt;
    }

    /// Longer than a loaded host takes from one tick to the next (200 ms), shorter than the 800 ms before a client's last SYN
    /// retransmission.
    static constexpr Duration kMinPause = std::chrono::milliseconds{700};

private:
    std::optional<Duration> last_;
};

/// Holds SYNs after a pause, or after a start with another host's data, until recent data is confirmed, as a zone may have been evacuated
/// meanwhile. A host that was just within the bounds of the platform before the pause is beyond them after it.
class SynHold
{
public:
    /// A confirmation counts that is at most this old: the source may have been cut off from the platform for longer.
    explicit SynHold(Duration maxAge)
        : maxAge_(maxAge)
    {
    }

    /// Records that a pause ended now, or that the host has just got its first data.
    void start(Time now)
    {
        until_ = now + kMaxHold;
    }

    /// Whether a SYN is to be left unanswered now. confirmedAt is when the platform confirmed the data, Time{} if not since the pause.
    bool holds(Time now, Time confirmedAt) const
    {
        return now < until_ && (confirmedAt == Time{} || now - confirmedAt > maxAge_);
    }

    /// Less than the 600 ms after which a client sends its SYN for the last time: a host without a confirmation serves by what it knows.
    static constexpr Duration kMaxHold = std::chrono::milliseconds{500};

private:
    Duration maxAge_;
    Time until_;
};

} // namespace medlarway
