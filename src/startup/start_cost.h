#pragma once

#include "base/time.h"

namespace medlarway
{

/// What the start of the process has taken so far.
struct StartCost {
    Duration elapsed{}; ///< since beginStart()
    Duration processorTime{}; ///< since the process began, which includes the loading of its libraries
};

/// Logs that the process starts. To be called by main() before anything that may fail.
void beginStart();

/// The cost until now.
StartCost startCost();

} // namespace medlarway
