#include "peering/boot_number.h"

#include <chrono>

namespace medlarway
{

std::uint64_t bootNumberFromClock()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count());
}

} // namespace medlarway
