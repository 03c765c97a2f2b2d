#include "base/endpoint.h"
#include "ctl/arguments.h"
#include "ctl/command.h"
#include "ctl/operator_client.h"
#include "entry/placement_page.h"
#include "pages/query.h"

#include <fmt/format.h>

namespace medlarway
{

int runExplainPlacement(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 2, {{}, {"json"}});
    if (!parsed) {
        return kExitUsage;
    }
    const auto &address = parsed->positional[1];
    if (!parseEndpoint(address)) {
        fmt::print(stderr, "'{}' is not an address like 198.51.100.1:443\n", address);
        return kExitUsage;
    }
    const auto page = fetchPage(parsed->positional[0], fmt::format("{}?to={}", kPlacementPath, encodeQueryValue(address)));
    if (!page) {
        return kExitFailed;
    }
    const auto text = parsed->has("json") ? page : placementText(*page);
    if (!text) {
        fmt::print(stderr, "{}: the response is not a placement page of this version\n", parsed->positional[0]);
        return kExitFailed;
    }
    fmt::print("{}", *text);
    return kExitOk;
}

} // namespace medlarway
