#include "ctl/arguments.h"
#include "ctl/command.h"
#include "ctl/operator_client.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

using nlohmann::json;

// The most notable condition of a flow, in one word; "idle" if none of the flags is set.
std::string_view conditionOf(const json &flow)
{
    for (const auto *name : {"stalled", "opening", "closing", "running"}) {
        if (flow.value(name, false)) {
            return name;
        }
    }
    return "idle";
}

} // namespace

int runFlows(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1);
    if (!parsed) {
        return kExitUsage;
    }
    const auto body = fetchPage(parsed->positional[0], "/flows");
    if (!body) {
        return kExitFailed;
    }
    const auto page = json::parse(*body, nullptr, false);
    if (!page.is_object() || !page.contains("flows")) {
        fmt::print(stderr, "the response is not a list of flows\n");
        return kExitFailed;
    }
    fmt::print("{:22} {:22} {:16} {:>10} {:9} {:>8}\n", "client", "destination", "upstream", "token", "condition", "silent s");
    for (const auto &flow : page["flows"]) {
        fmt::print("{:22} {:22} {:16} {:>10x} {:9} {:>8.1f}\n", flow.value("client", ""), flow.value("destination", ""),
                   flow.value("upstream", ""), flow.value("token", 0U), conditionOf(flow), flow.value("secondsSinceHeard", 0.0));
    }
    fmt::print("{} of {} flows\n", page.value("shown", 0), page.value("remembered", 0));
    return kExitOk;
}

} // namespace medlarway
