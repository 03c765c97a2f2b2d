#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// One line of a host's log, taken apart.
struct LogLine {
    std::string host; ///< what stands in front of the time, or the name of the file
    std::string time; ///< as written, in UTC; its order is that of the times
    int event = 0; ///< the event's number
    std::string name; ///< of the event
    std::map<std::string, std::string, std::less<>> fields;
    std::string text; ///< the line from the level on

    std::string_view value(std::string_view key) const
    {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string_view{} : std::string_view(found->second);
    }

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// Takes a line apart; a collector's words may stand in front, the last of them is taken as the host. nullopt where it is no line of
/// medlarway. Never throws.
std::optional<LogLine> parseLogLine(std::string_view line, std::string_view file);

} // namespace medlarway
