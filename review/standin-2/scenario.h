#pragma once

#include <functional>
#include <string>

namespace lab
{

/// Exit codes of a case.
inline constexpr int kHeld = 0; ///< the rule held
inline constexpr int kBroken = 1;
inline constexpr int kNotRun = 2; ///< the case could not run

/// What a case is started with: PROGRAM RECORD FOLDER, and TROUBLE in the environment.
struct Scenario {
    std::string program; ///< the daemon
    std::string recordFile;
    std::string folder; ///< a temporary folder
    bool trouble = true; ///< false: without the disruption
};

/// Runs the case and returns its exit code.
int runScenario(int argumentCount, char **arguments, const std::function<int(const Scenario &)> &run);

} // namespace lab
