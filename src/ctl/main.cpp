#include "ctl/command.h"

#include <algorithm>
#include <exception>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace medlarway;

namespace
{

void printUsage(const Command &command)
{
    fmt::print("medlarwayctl {} {}\n    {}\n", command.name, command.usage, command.summary);
}

void printHelp()
{
    fmt::print("medlarwayctl COMMAND [ARGUMENTS]\nIt only reads; operators act by editing the catalogue and by SIGTERM.\n\n");
    for (const auto &command : allCommands()) {
        printUsage(command);
    }
}

int runCommand(const Command &command, const std::vector<std::string> &arguments)
{
    if (std::find(arguments.begin(), arguments.end(), "--help") != arguments.end()) {
        printUsage(command);
        return kExitOk;
    }
    const auto exitCode = command.run(arguments);
    if (exitCode == kExitUsage) {
        fmt::print(stderr, "usage: medlarwayctl {} {}\n", command.name, command.usage);
    }
    return exitCode;
}

} // namespace

int main(int argumentCount, char **argumentValues)
{
    const std::vector<std::string> words(argumentValues + 1, argumentValues + argumentCount);
    if (words.empty() || words.front() == "--help" || words.front() == "help") {
        printHelp();
        return words.empty() ? kExitUsage : kExitOk;
    }
    try {
        for (const auto &command : allCommands()) {
            if (command.name == words.front()) {
                return runCommand(command, {words.begin() + 1, words.end()});
            }
        }
    } catch (const std::exception &exception) {
        fmt::print(stderr, "{}\n", exception.what());
        return kExitFailed;
    }
    fmt::print(stderr, "'{}' is not a command; see medlarwayctl --help\n", words.front());
    return kExitUsage;
}
