#include "yaml/scalars.h"

#include <array>
#include <charconv>
#include <fmt/format.h>
#include <limits>

namespace medlarway
{

namespace
{

struct Unit {
    std::string_view name;
    std::uint64_t size;
};

// In descending order, so that durationToString finds the largest unit that fits.
constexpr std::array kDurationUnits{
    Unit{"h", 3'600'000},
    Unit{"m", 60'000},
    Unit{"s", 1'000},
    Unit{"ms", 1},
};
constexpr std::array kByteUnits{
    Unit{"GiB", 1ULL << 30U},
    Unit{"MiB", 1ULL << 20U},
    Unit{"KiB", 1ULL << 10U},
    Unit{"", 1},
};
constexpr std::uint64_t kMaxMilliseconds = 366ULL * 24 * 3'600'000;

// Parses a number followed by the name of a unit; nullopt if the product would exceed the maximum.
template<std::size_t count>
std::optional<std::uint64_t> parseWithUnit(std::string_view text, const std::array<Unit, count> &units, std::uint64_t max)
{
    const auto digits = std::min(text.find_first_not_of("0123456789"), text.size());
    const auto number = parseNumber(text.substr(0, digits));
    if (!number) {
        return std::nullopt;
    }
    for (const auto &unit : units) {
        if (text.substr(digits) == unit.name) {
            return *number <= max / unit.size ? std::optional(*number * unit.size) : std::nullopt;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<Duration> parseDuration(std::string_view text)
{
    const auto milliseconds = parseWithUnit(text, kDurationUnits, kMaxMilliseconds);
    if (!milliseconds) {
        return std::nullopt;
    }
    return Duration{std::chrono::milliseconds{*milliseconds}};
}

std::string durationToString(Duration duration)
{
    const auto milliseconds = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
    for (const auto &unit : kDurationUnits) {
        if (milliseconds > 0 && milliseconds % unit.size == 0) {
            return fmt::format("{}{}", milliseconds / unit.size, unit.name);
        }
    }
    return "0s";
}

std::optional<std::uint64_t> parseByteCount(std::string_view text)
{
    return parseWithUnit(text, kByteUnits, std::numeric_limits<std::uint64_t>::max());
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || text.empty()) {
        return std::nullopt;
    }
    return value;
}

} // namespace medlarway
