#pragma once

#include <cstdint>

namespace medlarway
{

/// The boot number of a starting host: the wall clock in milliseconds, so higher after each restart unless the clock was set back. Peers
/// detect that and reply with the number that they know.
std::uint64_t bootNumberFromClock();

} // namespace medlarway
