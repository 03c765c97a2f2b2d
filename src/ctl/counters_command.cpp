#include "ctl/arguments.h"
#include "ctl/command.h"
#include "ctl/operator_client.h"

#include <fmt/format.h>

namespace medlarway
{

int runCounters(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1);
    if (!parsed) {
        return kExitUsage;
    }
    const auto page = fetchPage(parsed->positional[0], "/counters");
    if (!page) {
        return kExitFailed;
    }
    fmt::print("{}", *page);
    return kExitOk;
}

} // namespace medlarway
