#pragma once

#include <cstddef>
#include <cstdint>
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

/// Sends the lines to another descriptor than standard error's. To be called before other threads log.
void setLogDescriptor(int descriptor);

/// Writes one line to standard error, or where setLogDescriptor says: time, level, number, name, summary, fields. At most logBurst lines
/// a second of one event are written; the next line says how many were left out. Never waits for a reader: what nobody
/// reads is kept up to kMostPendingLog bytes, then lost and counted (event 106). Lines of flows are handed over with the next other line
/// or by flushLog.
void logEvent(Event event, std::initializer_list<LogField> fields = {});

/// Whether a line of the event would be written now; where not, it counts as left out. Spares making the fields.
bool logTakes(Event event);

/// Hands over what waits, as far as it is read.
void flushLog();

/// Whether the event is a decision on a flow.
constexpr bool isOfFlow(Event event)
{
    return event >= Event::FlowPlaced && event <= Event::FlowUnanswered;
}

/// Lines of one event that are written within one second. Each flow has a few lines, so there is room for the flows of a busy host.
constexpr int logBurst(Event event)
{
    constexpr int kUsual = 20;
    constexpr int kOfFlows = 200;
    return isOfFlow(event) ? kOfFlows : kUsual;
}

/// Bytes of lines that are kept while nobody reads them.
inline constexpr std::size_t kMostPendingLog = 64U << 10U;

/// The line that logEvent writes, without time and newline. Values are quoted where needed.
std::string formatLogLine(const EventInfo &info, std::span<const LogField> fields);

} // namespace medlarway
