#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// Reads a whole number of milliseconds, seconds, minutes or hours: "500ms", "30s", "5m", "2h".
std::optional<Duration> parseDuration(std::string_view text);

/// Writes a duration in the largest unit of parseDuration that gives a whole number; parts of a millisecond are cut off.
std::string durationToString(Duration duration);

/// Reads a number of bytes: "1000", "64KiB", "16MiB", "1GiB".
std::optional<std::uint64_t> parseByteCount(std::string_view text);

/// Reads an unsigned decimal number without sign or blanks.
std::optional<std::uint64_t> parseNumber(std::string_view text);

} // namespace medlarway
