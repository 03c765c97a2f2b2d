#pragma once

#include "base/errors.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace medlarway
{

/// What is known of the bytes that should begin with a head.
struct HeadScan {
    enum class State : std::uint8_t {
        Incomplete, ///< more bytes are needed
        Complete, ///< the first `size` bytes are the head, its empty line included
        Malformed, ///< no further byte can make it valid
    };
    State state = State::Incomplete;
    std::size_t size = 0;

    friend bool operator==(const HeadScan &, const HeadScan &) = default;
};

/// Looks for the end of a head. Every line must end by CR LF. The first `searched` bytes were looked at before.
HeadScan scanHead(std::string_view bytes, std::size_t searched = 0);

/// Checks a complete request head; the error where it isn't valid HTTP/1.x or two readers could
/// take its body to be of different lengths. Stricter than a general parser on purpose.
std::optional<ErrorKind> checkRequestHead(std::string_view head);

/// Checks a complete answer head in the same way.
std::optional<ErrorKind> checkAnswerHead(std::string_view head);

/// Reads the value of Medlarway-Deadline, whole milliseconds; nullopt where it is anything else.
std::optional<Duration> parseDeadline(std::string_view value);

/// Reads the value of Retry-After in seconds, at most a minute; a date counts as one second.
Duration parseRetryAfter(std::string_view value);

/// Whether the text is a token of HTTP's grammar, as a field's name must be.
bool isToken(std::string_view text);

/// Compares without regard to the case of ASCII letters.
bool equalsIgnoringCase(std::string_view first, std::string_view second);

/// Cuts spaces and tabs off both ends.
std::string_view trimmed(std::string_view text);

} // namespace medlarway
