#include "entry/pause_detector.h"

#include <ctime>

namespace medlarway
{

// std::chrono::steady_clock does not advance while the machine is suspended.
Duration timeSinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace medlarway
