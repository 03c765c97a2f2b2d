#pragma once

#include <chrono>

namespace medlarway
{

/// A span of time. Decision code works in whole nanoseconds.
using Duration = std::chrono::nanoseconds;

/// A moment of a host's monotonic clock. Moments of two hosts can't be compared.
using Time = std::chrono::time_point<std::chrono::steady_clock, Duration>;

} // namespace medlarway
