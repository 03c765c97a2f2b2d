#include "base/errors.h"
#include "ctl/arguments.h"
#include "ctl/command.h"
#include "settings/settings_file.h"

#include <fmt/format.h>

namespace medlarway
{

int runCheckSettings(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1);
    if (!parsed) {
        return kExitUsage;
    }
    try {
        loadSettings(parsed->positional[0]);
    } catch (const Error &error) {
        fmt::print(stderr, "{}\n", error.what());
        return kExitFailed;
    }
    fmt::print("{}: no faults\n", parsed->positional[0]);
    return kExitOk;
}

} // namespace medlarway
