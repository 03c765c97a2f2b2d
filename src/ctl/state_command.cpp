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

constexpr std::size_t kIndentWidth = 2;

bool isScalar(const json &value)
{
    return !value.is_object() && !value.is_array();
}

bool isListOfScalars(const json &value)
{
    return value.is_array() && std::all_of(value.begin(), value.end(), isScalar);
}

std::string plainText(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

std::string listText(const json &list)
{
    std::string text;
    for (const auto &entry : list) {
        text += text.empty() ? "" : ", ";
        text += plainText(entry);
    }
    return text.empty() ? "none" : text;
}

// Prints a value as indented text: one line for each scalar, a heading for each object. Makes no assumptions about the
// keys, so that the state of a newer daemon is shown in full too.
void printValue(const std::string &name, const json &value, std::size_t depth)
{
    const std::string indent(depth * kIndentWidth, ' ');
    if (isScalar(value)) {
        fmt::print("{}{}: {}\n", indent, name, plainText(value));
    } else if (isListOfScalars(value)) {
        fmt::print("{}{}: {}\n", indent, name, listText(value));
    } else if (value.is_array()) {
        for (const auto &entry : value) {
            printValue(name, entry, depth);
        }
    } else {
        fmt::print("{}{}:\n", indent, name);
        for (const auto &[key, member] : value.items()) {
            printValue(key, member, depth + 1);
        }
    }
}

} // namespace

int runState(const std::vector<std::string> &arguments)
{
    const auto parsed = parseArguments(arguments, 1, {{}, {"json"}});
    if (!parsed) {
        return kExitUsage;
    }
    const auto page = fetchPage(parsed->positional[0], "/state");
    if (!page) {
        return kExitFailed;
    }
    if (parsed->has("json")) {
        fmt::print("{}", *page);
        return kExitOk;
    }
    const auto state = json::parse(*page, nullptr, false);
    if (!state.is_object()) {
        fmt::print(stderr, "the response is not a JSON object\n");
        return kExitFailed;
    }
    for (const auto &[key, member] : state.items()) {
        printValue(key, member, 0);
    }
    return kExitOk;
}

} // namespace medlarway
