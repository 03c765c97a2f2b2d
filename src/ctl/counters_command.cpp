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
    const auto answer = askOperator(parsed->positional[0], "/counters");
    if (!answer) {
        return kExitFailed;
    }
    fmt::print("{}", *answer);
    return kExitOk;
}

} // namespace medlarway
