#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// A subcommand's arguments, taken apart.
struct Arguments {
    std::vector<std::string> positional;
    std::map<std::string, std::string, std::less<>> options; ///< by name, without the dashes; empty values for flags

    bool has(std::string_view option) const
    {
        return options.contains(option);
    }

    std::string value(std::string_view option) const
    {
        const auto found = options.find(option);
        return found == options.end() ? std::string() : found->second;
    }
};

/// The options that a subcommand knows.
struct OptionNames {
    std::vector<std::string_view> withValue; ///< "--name value" or "--name=value"
    std::vector<std::string_view> flags;
};

/// Takes arguments apart and checks the number of positional ones. On a fault it says so on standard error and gives nullopt.
std::optional<Arguments> parseArguments(const std::vector<std::string> &arguments, std::size_t positional, const OptionNames &names = {});

} // namespace medlarway
