#pragma once

#include <cstdint>
#include <cstdio>
#include <fmt/format.h>
#include <initializer_list>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace medlarway
{

/// How grave an event is.
enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// Every event that is logged. The numbers are in events.inc and docs/EVENTS.md.
enum class Event : std::uint16_t {
#define X(name, number, level, summary) name = number,
#include "base/events.inc"
#undef X
};

/// What the catalogue of events says of one.
struct EventInfo {
    Event event;
    std::string_view name;
    LogLevel level;
    std::string_view summary;
};

/// One key=value pair of a log line.
struct LogField {
    std::string_view key;
    std::string value;
};

/// Makes a field of anything that fmt can print.
template<class T>
LogField field(std::string_view key, const T &value)
{
    return LogField{key, fmt::format("{}", value)};
}

/// All events, in the order of their numbers.
std::span<const EventInfo> allEvents();

/// The event's row.
const EventInfo &eventInfo(Event event);

/// Reads "debug", "info", "warning" or "error".
std::optional<LogLevel> parseLogLevel(std::string_view text);

/// Sets the lowest level that is written. Any thread may call it.
void setLogLevel(LogLevel level);

/// Sends the lines to another stream than standard error. To be called before other threads log.
void setLogStream(std::FILE *stream);

/// Writes one line to standard error, or where setLogStream says: time, level, number, name, summary, fields. At most
/// kLogBurst lines a second of one event are written; the next line says how many were left out.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// Lines of one event that are written within one second.
inline constexpr int kLogBurst = 20;

/// The line that logEvent writes, without time and newline. Values are quoted where needed.
std::string formatLogLine(const EventInfo &info, std::span<const LogField> fields);

} // namespace medlarway
