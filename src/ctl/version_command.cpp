#include "base/version.h"
#include "ctl/arguments.h"
#include "ctl/command.h"

#include <fmt/format.h>

namespace medlarway
{

int runVersion(const std::vector<std::string> &arguments)
{
    if (!parseArguments(arguments, 0)) {
        return kExitUsage;
    }
    fmt::print("medlarwayctl {}\n", kVersion);
    return kExitOk;
}

} // namespace medlarway
