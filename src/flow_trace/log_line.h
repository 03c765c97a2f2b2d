#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// A parsed line of a host's log.
struct LogLine {
    std::string host; ///< the word before the time, or the log file's name if there is none
    std::string time; ///< in UTC, as in the log; string order is chronological order
    int event = 0; ///< event number
    std::string name; ///< event name
    std::map<std::string, std::string, std::less<>> fields;
    std::string text; ///< rest of the line, starting with the level

    /// The value of a field; empty if the line does not have it.
    std::string_view value(std::string_view key) const
    {
        const auto found = fields.find(key);
        return found == fields.end() ? std::string_view{} : std::string_view(found->second);
    }

    friend bool operator==(const LogLine &, const LogLine &) = default;
};

/// Parses a line. A log collector may have put words in front of it, of which the last is taken as the host; without any, the host is the
/// file's name. nullopt if it is not a log line of medlarway. Never throws.
std::optional<LogLine> parseLogLine(std::string_view line, std::string_view file);

} // namespace medlarway
