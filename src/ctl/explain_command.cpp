#include "ctl/arguments.h"
#include "ctl/command.h"
#include "ctl/operator_client.h"
#include "pages/query.h"

#include <fmt/format.h>

namespace medlarway
{

int runExplain(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1, {{"service", "path", "caller"}, {}});
    if (!parsed) {
        return kExitUsage;
    }
    if (!parsed->has("service") || !parsed->has("caller")) {
        fmt::print(stderr, "--service and --caller are required\n");
        return kExitUsage;
    }
    const auto path = parsed->has("path") ? parsed->value("path") : "/";
    const auto target = fmt::format("/explain?service={}&path={}&caller={}", encodeQueryValue(parsed->value("service")),
                                    encodeQueryValue(path), encodeQueryValue(parsed->value("caller")));
    const auto page = fetchPage(parsed->positional[0], target);
    if (!page) {
        return kExitFailed;
    }
    fmt::print("{}", *page);
    return kExitOk;
}

} // namespace medlarway
