#include "base/log.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <climits>
#include <fmt/chrono.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>
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
    int descriptor = STDERR_FILENO;
    std::string pending; ///< lines that were not handed over yet
    std::uint64_t lost = 0; ///< lines that found no room since the last one that did
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

// Writes as much as is taken without waiting: a pipe that can be written to has room for PIPE_BUF bytes. Lines whose reader went away
// count as lost.
void handOver(LogState &state)
{
    std::size_t done = 0;
    while (done < state.pending.size()) {
        pollfd ready{state.descriptor, POLLOUT, 0};
        if (poll(&ready, 1, 0) <= 0) {
            break;
        }
        const auto size = std::min<std::size_t>(state.pending.size() - done, PIPE_BUF);
        const auto written = write(state.descriptor, state.pending.data() + done, size);
        if (written < 0 && (errno == EAGAIN || errno == EINTR)) {
            break;
        }
        if (written < 0) {
            state.lost += static_cast<std::uint64_t>(
                std::count(state.pending.begin() + static_cast<std::ptrdiff_t>(done), state.pending.end(), '\n'));
            state.pending.clear();
            return;
        }
        done += static_cast<std::size_t>(written);
    }
    state.pending.erase(0, done);
}

std::size_t rowOf(Event event)
{
    const auto *found = std::find_if(kEvents.begin(), kEvents.end(), [event](const EventInfo &row) { return row.event == event; });
    return static_cast<std::size_t>(found - kEvents.begin());
}

// The rate bound is per event, since callers can cause some events at will and a flood of one kind must hide no other.
// Gives the row where a line may be written.
EventRate *takeTurn(LogState &state, Event event, std::int64_t second)
{
    const auto row = rowOf(event);
    if (kEvents.at(row).level < lowestLevel().load(std::memory_order_relaxed)) {
        return nullptr;
    }
    auto &rate = state.rates.at(row);
    if (rate.second != second) {
        rate.second = second;
        rate.written = 0;
    }
    if (rate.written >= logBurst(event)) {
        ++rate.suppressed;
        return nullptr;
    }
    return &rate;
}

void append(LogState &state, const std::string &line, std::chrono::sys_time<std::chrono::milliseconds> now)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
    const auto milliseconds = now.time_since_epoch().count() % 1000;
    state.pending += fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}\n", fmt::gmtime(static_cast<std::time_t>(second)), milliseconds, line);
}

// Bytes above ASCII are no control characters, whether char is signed or not.
bool isControl(char c)
{
    return static_cast<unsigned char>(c) < ' ' || c == 0x7f;
}

bool needsQuotes(std::string_view value)
{
    return value.empty()
           || std::any_of(value.begin(), value.end(), [](char c) { return isControl(c) || c == ' ' || c == '"' || c == '=' || c == '\\'; });
}

// Quotes a value so that a caller's bytes can neither break the line nor imitate a field.
std::string inQuotes(std::string_view value)
{
    std::string result = "\"";
    for (const char c : value) {
        if (c == '"' || c == '\\') {
            result += '\\';
            result += c;
        } else if (isControl(c)) {
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

void setLogDescriptor(int descriptor)
{
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    state.descriptor = descriptor;
}

void flushLog()
{
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    handOver(state);
}

std::string formatLogLine(const EventInfo &info, std::span<const LogField> fields)
{
    std::string line = fmt::format("{} {} {} {}", levelName(info.level), static_cast<int>(info.event), info.name, inQuotes(info.summary));
    for (const auto &entry : fields) {
        line += fmt::format(" {}={}", entry.key, needsQuotes(entry.value) ? inQuotes(entry.value) : entry.value);
    }
    return line;
}

bool logTakes(Event event)
{
    const auto second = std::chrono::floor<std::chrono::seconds>(std::chrono::system_clock::now()).time_since_epoch().count();
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    return takeTurn(state, event, second) != nullptr;
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto second = std::chrono::floor<std::chrono::seconds>(now).time_since_epoch().count();
    auto &state = logState();
    const std::lock_guard lock(state.mutex);
    auto *rate = takeTurn(state, event, second);
    if (rate == nullptr) {
        return;
    }
    // Step 1. Without room the line is lost, and the next one that has room says how many were.
    if (state.pending.size() >= kMostPendingLog) {
        handOver(state);
    }
    if (state.pending.size() >= kMostPendingLog) {
        ++state.lost;
        return;
    }
    if (state.lost > 0) {
        append(state, formatLogLine(eventInfo(Event::LogLinesLost), std::array{field("lines", std::exchange(state.lost, 0))}), now);
    }
    // Step 2. The line, and how many like it were left out before.
    ++rate->written;
    auto line = formatLogLine(eventInfo(event), std::span(fields.begin(), fields.size()));
    if (const auto suppressed = std::exchange(rate->suppressed, 0)) {
        line += fmt::format(" suppressed={}", suppressed);
    }
    append(state, line, now);
    // Step 3. Lines of flows are many; they wait for company.
    if (!isOfFlow(event)) {
        handOver(state);
    }
}

} // namespace medlarway
