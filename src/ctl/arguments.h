#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// The parsed arguments of a subcommand.
struct Arguments {
    std::vector<std::string> positional;
    std::map<std::string, std::string, std::less<>> options; ///< values by name without the dashes; empty for flags

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

/// The options that a subcommand accepts.
struct OptionNames {
    std::vector<std::string_view> withValue; ///< "--name value" or "--name=value"
    std::vector<std::string_view> flags;
};

/// Parses arguments and checks the number of positional ones. Prints an error to standard error and returns nullopt if an
/// option is unknown, a value is missing, or the number is wrong.
std::optional<Arguments> parseArguments(const std::vector<std::string> &arguments, std::size_t positional, const OptionNames &names = {});

} // namespace medlarway
