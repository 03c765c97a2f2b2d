#include "ctl/arguments.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

bool contains(const std::vector<std::string_view> &names, std::string_view name)
{
    return std::find(names.begin(), names.end(), name) != names.end();
}

} // namespace

std::optional<Arguments> parseArguments(const std::vector<std::string> &arguments, std::size_t positional, const OptionNames &names)
{
    Arguments result;
    for (std::size_t index = 0; index < arguments.size(); ++index) {
        const auto &argument = arguments[index];
        if (!argument.starts_with("--")) {
            result.positional.push_back(argument);
            continue;
        }
        const auto equals = argument.find('=');
        const auto name = argument.substr(2, equals == std::string::npos ? equals : equals - 2);
        if (contains(names.flags, name) && equals == std::string::npos) {
            result.options.insert_or_assign(name, "");
        } else if (contains(names.withValue, name) && equals != std::string::npos) {
            result.options.insert_or_assign(name, argument.substr(equals + 1));
        } else if (contains(names.withValue, name) && index + 1 < arguments.size()) {
            result.options.insert_or_assign(name, arguments[++index]);
        } else {
            fmt::print(stderr, "option '{}' is unknown, lacks a value or takes none\n", argument);
            return std::nullopt;
        }
    }
    if (result.positional.size() != positional) {
        fmt::print(stderr, "expected {} argument(s), got {}\n", positional, result.positional.size());
        return std::nullopt;
    }
    return result;
}

} // namespace medlarway
