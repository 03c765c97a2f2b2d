#include "base/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <fmt/chrono.h>
#include <mutex>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::array kEvents{
#define X(name, number, level, summary) EventInfo{Event::name, #name, LogLevel::level, summary},
#include "base/events.inc"
#undef X
};

// How many lines of one event were written in the current second, and how many left out.
struct EventRate {
    std::int64_t second = 0;
    int written = 0;
    std::uint64_t suppressed = 0;
};

struct LogState {
    std::mutex mutex;
    std::FILE *stream = stderr;
    std::array<EventRate, kEvents.size()> rates{};
};

std::atomic<LogLevel> &lowestLevel()
{
    static std::atomic<LogLevel> level{LogLevel::Info};
    return level;
}

LogState &logState()
{
    static LogState state;
    return state;
}

std::string_view levelName(LogLevel level)
{
    static constexpr std::array<std::string_view, 4> kNames{"debug", "info", "warning", "error"};
    return kNames.at(static_cast<std::size_t>(level));
}

std::size_t rowOf(Event event)
{
    const auto *found = std::find_if(kEvents.begin(), kEvents.end(), [event](const EventInfo &row) { return row.event == event; });
    return static_cast<std::size_t>(found - kEvents.begin());
}

bool needsQuotes(std::string_view value)
{
    return value.empty()
           || std::any_of(value.begin(), value.end(), [](char c) { return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f; });
}

// Quotes a value so that a caller's bytes can neither break the line nor imitate a field.
std::string quoted(std::string_view value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (c < ' ' || c == 0x7f) {
            result += fmt::format("\\x{:02x}", static_cast<unsigned char>(c));
        } else {
            result += c;
        }
    }
    return result + '"';
}

} // namespace

std::span<const EventInfo> allEvents()
{
    return kEvents;
}

const EventInfo &eventInfo(Event event)
{
    return kEvents.at(rowOf(event));
}

std::optional<LogLevel> parseLogLevel(std::string_view text)
{
    for (const auto level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (text == levelName(level)) {
            return level;
        }
    }
    return std::nullopt;
}

void setLogLevel(LogLevel level)
{
    lowestLevel().store(level, std::memory_order_relaxed);
}

void setLogStream(std::FILE *stream)
{
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    state.stream = stream;
}

std::string formatLogLine(const EventInfo &info, std::span<const LogField> fields)
{
    std::string line = fmt::format("{} {} {} {}", levelName(info.level), static_cast<int>(info.event), info.name, quoted(info.summary));
    for (const auto &entry : fields) {
        line += fmt::format(" {}={}", entry.key, needsQuotes(entry.value) ? quoted(entry.value) : entry.value);
    }
    return line;
}

// The rate bound is per event, since callers can cause some events at will and a
// flood of one kind must hide no other.
void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto row = rowOf(event);
    const auto &info = kEvents.at(row);
    if (info.level < lowestLevel().load(std::memory_order_relaxed)) {
        return;
    }
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto second = std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    auto &rate = state.rates.at(row);
    std::uint64_t suppressed = 0;
    if (rate.second != second) {
        suppressed = std::exchange(rate.suppressed, 0);
        rate.second = second;
        rate.written = 0;
    }
    if (rate.written >= kLogBurst) {
        ++rate.suppressed;
        return;
    }
    ++rate.written;
    const auto line = formatLogLine(info, std::span(fields.begin(), fields.size()));
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    const auto stamp = fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(static_cast<std::time_t>(second)), milliseconds);
    const auto text = suppressed > 0 ? fmt::format("{} {} suppressed={}\n", stamp, line, suppressed) : fmt::format("{} {}\n", stamp, line);
    std::fwrite(text.data(), 1, text.size(), state.stream);
    std::fflush(state.stream);
}

} // namespace medlarway
