#pragma once

#include "base/errors.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace medlarway
{

/// The end of every line of a head.
inline constexpr std::string_view kLineEnd = "\r\n";

/// The result of scanning bytes that should start with a head.
struct HeadScan {
    enum class State : std::uint8_t {
        Incomplete, ///< more bytes are needed
        Complete, ///< the first `size` bytes are the head, including its empty line
        Malformed, ///< no further byte can make it valid
    };
    State state = State::Incomplete;
    std::size_t size = 0;

    friend bool operator==(const HeadScan &, const HeadScan &) = default;
};

/// Searches for the end of a head. Every line must end in CR LF. The first `searched` bytes were scanned by earlier calls.
HeadScan scanHead(std::string_view bytes, std::size_t searched = 0);

/// Checks a complete request head. Returns an error if it is not valid HTTP/1.x or if two parsers could disagree on the
/// length of its body (request smuggling). Deliberately stricter than a general parser.
std::optional<ErrorKind> checkRequestHead(std::string_view head);

/// Checks a complete response head in the same way.
std::optional<ErrorKind> checkResponseHead(std::string_view head);

/// Parses the value of Medlarway-Deadline in whole milliseconds. Returns nullopt if it is invalid.
std::optional<Duration> parseDeadline(std::string_view value);

/// Parses the value of Retry-After in seconds, capped at one minute. A date counts as one second.
Duration parseRetryAfter(std::string_view value);

/// Whether the text is a token of the HTTP grammar, as required for a field name.
bool isToken(std::string_view text);

/// Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view first, std::string_view second);

/// Removes spaces and tabs from both ends.
std::string_view trimmed(std::string_view text);

} // namespace medlarway
