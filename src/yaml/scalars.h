#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// Parses a whole number of milliseconds, seconds, minutes or hours: "500ms", "30s", "5m", "2h".
/// Returns nullopt if the text has another form or the duration exceeds 366 days.
std::optional<Duration> parseDuration(std::string_view text);

/// Formats a duration in the largest unit of parseDuration that gives a whole number. Truncates to milliseconds.
std::string durationToString(Duration duration);

/// Parses a number of bytes: "1000", "64KiB", "16MiB", "1GiB".
std::optional<std::uint64_t> parseByteCount(std::string_view text);

/// Parses an unsigned decimal number without sign or spaces.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace medlarway
