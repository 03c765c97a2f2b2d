#include "entry/pause_watch.h"

#include <ctime>

namespace medlarway
{

// The steady clock stands still while a machine is suspended.
Duration timeSinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace medlarway
