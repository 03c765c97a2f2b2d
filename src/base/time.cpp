#include "base/time.h"

#include <ctime>

namespace medlarway
{

Duration timeSinceBoot()
{
    timespec time{};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return std::chrono::seconds{time.tv_sec} + std::chrono::nanoseconds{time.tv_nsec};
}

} // namespace medlarway
