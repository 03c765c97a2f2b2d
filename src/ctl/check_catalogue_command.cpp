#include "base/errors.h"
#include "ctl/arguments.h"
#include "ctl/command.h"
#include "platform/file_source.h"

#include <fmt/format.h>

namespace medlarway
{

int runCheckCatalogue(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1);
    if (!parsed) {
        return kExitUsage;
    }
    try {
        const auto shard = loadCatalogueFile(parsed->positional[0]);
        fmt::print("{}: {} services, no errors\n", parsed->positional[0], shard.services.size());
    } catch (const Error &error) {
        fmt::print(stderr, "{}\n", error.what());
        return kExitFailed;
    }
    return kExitOk;
}

} // namespace medlarway
