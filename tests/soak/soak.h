#pragma once

#include "soak/faults.h"

#include <string>
#include <vector>

namespace medlarway::soak
{

/// What a soak found.
struct SoakResult {
    std::vector<std::string> broken; ///< promises that were not kept
    std::string story; ///< what was done, and when
    int answers = 0;
    int resets = 0; ///< that callers got, due ones too
    int unanswered = 0; ///< requests given up after 2 s
};

/// Runs real hosts before stand-ins, does to them what the seed says, and checks all the while what must hold. At the end every
/// fault is taken back, and everything must serve again in time.
SoakResult runSoak(const SoakOptions &options);

} // namespace medlarway::soak
