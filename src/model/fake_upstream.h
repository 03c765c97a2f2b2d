#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace medlarway::model
{

/// An upstream with a few slots that refuses what comes over them.
class FakeUpstream
{
public:
    explicit FakeUpstream(std::uint32_t slots)
        : slots_(slots)
    {
    }

    bool down = false;
    bool shedding = false;
    std::uint32_t coldRequests = 0; ///< that still take kColdDelay longer

    bool full() const
    {
        return running_.size() >= slots_;
    }

    /// Starts a request in a free slot; gives the time that it takes.
    Duration start(std::uint64_t attempt, Duration work, Time now);

    /// Ends a request that runs. False where it does not run here (any more).
    bool end(std::uint64_t attempt, Time now);

    /// The requests that run, by attempt.
    const std::map<std::uint64_t, Time> &running() const
    {
        return running_;
    }

    /// Slot time used between the two times that setWindow gave.
    Duration busy() const
    {
        return busy_;
    }

    /// Only what falls into the window counts as busy.
    void setWindow(Time from, Time until)
    {
        from_ = from;
        until_ = until;
    }

    static constexpr Duration kColdDelay = std::chrono::milliseconds{400};

private:
    std::uint32_t slots_;
    std::map<std::uint64_t, Time> running_; ///< attempt to its start
    Duration busy_{};
    Time from_{};
    Time until_ = Time::max();
};

} // namespace medlarway::model
