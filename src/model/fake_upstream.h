#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace medlarway::model
{

/// A simulated upstream with a fixed number of slots.
class FakeUpstream
{
public:
    explicit FakeUpstream(std::uint32_t slots)
        : slots_(slots)
    {
    }

    bool down = false; ///< refuses connections
    bool shedding = false; ///< refuses every request with Retry-After
    std::uint32_t coldRequests = 0; ///< the number of next requests that take kColdDelay longer

    bool full() const
    {
        return running_.size() >= slots_;
    }

    /// Starts a request in a free slot. Returns how long it will run.
    Duration start(std::uint64_t attempt, Duration serviceTime, Time now);

    /// Ends a running request. Returns false if it is not running here, for example because it was cancelled.
    bool finish(std::uint64_t attempt, Time now);

    /// The start times of the running requests, by attempt.
    const std::map<std::uint64_t, Time> &running() const
    {
        return running_;
    }

    /// The total time for which requests that have ended occupied slots within the window.
    Duration busy() const
    {
        return busy_;
    }

    /// Sets the window of time that busy() measures.
    void setWindow(Time from, Time until)
    {
        windowStart_ = from;
        windowEnd_ = until;
    }

    static constexpr Duration kColdDelay = std::chrono::milliseconds{400};

private:
    std::uint32_t slots_;
    std::map<std::uint64_t, Time> running_; ///< start time by attempt
    Duration busy_{};
    Time windowStart_{};
    Time windowEnd_ = Time::max();
};

} // namespace medlarway::model
