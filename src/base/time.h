#pragma once

#include <chrono>
#include <cstdint>

namespace medlarway
{

/// A span of time. Decision code works in whole nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A moment of a host's monotonic clock. Moments of two hosts can't be compared.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

/// This moment of the monotonic clock.
inline Time monotonicNow()
{
    return std::chrono::steady_clock::now();
}

/// Time since the machine booted. Unlike the monotonic clock it counts the time in which the machine was suspended.
Duration timeSinceBoot();

/// A span as timers of the monotonic clock take it.
inline std::chrono::steady_clock::duration toSteady(Duration span)
{
    return std::chrono::duration_cast<std::chrono::steady_clock::duration>(span);
}

/// A span in seconds.
inline double inSeconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

/// A span in whole milliseconds, for logs and requests.
inline std::int64_t inMilliseconds(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace medlarway
