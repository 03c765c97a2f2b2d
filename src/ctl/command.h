#pragma once

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Exit codes of medlarwayctl.
inline constexpr int kExitOk = 0;
inline constexpr int kExitFailed = 1; ///< the checked file is invalid, or the requested data is not available
inline constexpr int kExitUsage = 2; ///< the command line is invalid

/// One subcommand of medlarwayctl.
struct Command {
    std::string_view name;
    std::string_view usage; ///< the arguments as shown in the help
    std::string_view summary;
    int (*run)(const std::vector<std::string> &arguments); ///< takes the arguments after the subcommand's name, returns the exit code
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
int runExplainPlacement(const std::vector<std::string> &arguments);
int runBench(const std::vector<std::string> &arguments);
int runVersion(const std::vector<std::string> &arguments);

} // namespace medlarway
