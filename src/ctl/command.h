#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Exit codes of medlarwayctl.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1; ///< what was asked for is faulty or can't be had
inline constexpr int kExitUsage = 2; ///< the command line is wrong

/// One subcommand. Its arguments come after its name.
struct Command {
    std::string_view name;
    std::string_view usage; ///< the arguments, for the help
    std::string_view summary;
    int (*run)(const std::vector<std::string> &arguments); ///< gives the exit code
};

/// All subcommands, in the order of the help.
std::span<const Command> allCommands();

int runCheckSettings(const std::vector<std::string> &arguments);
int runCheckCatalogue(const std::vector<std::string> &arguments);
int runFlows(const std::vector<std::string> &arguments);
int runState(const std::vector<std::string> &arguments);
int runCounters(const std::vector<std::string> &arguments);
int runExplain(const std::vector<std::string> &arguments);
int runExplainFlow(const std::vector<std::string> &arguments);
int runBench(const std::vector<std::string> &arguments);
int runVersion(const std::vector<std::string> &arguments);

} // namespace medlarway
