#include "base/counters.h"

#include <array>
#include <atomic>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr auto kCounterCount = static_cast<std::size_t>(Counter::Count);

struct CounterInfo {
    std::string_view name;
    std::string_view help;
};

constexpr std::array<CounterInfo, kCounterCount> kCounters{{
#define X(name, exported, help) {#exported, help},
#include "base/counters.inc"
#undef X
}};

std::array<std::atomic<std::uint64_t>, kCounterCount> &values()
{
    static std::array<std::atomic<std::uint64_t>, kCounterCount> counters{};
    return counters;
}

} // namespace

void count(Counter counter, std::uint64_t amount)
{
    values().at(static_cast<std::size_t>(counter)).fetch_add(amount, std::memory_order_relaxed);
}

std::uint64_t counterValue(Counter counter)
{
    return values().at(static_cast<std::size_t>(counter)).load(std::memory_order_relaxed);
}

std::string_view counterName(Counter counter)
{
    return kCounters.at(static_cast<std::size_t>(counter)).name;
}

std::string countersAsText()
{
    std::string text;
    for (std::size_t row = 0; row < kCounterCount; ++row) {
        const auto &info = kCounters.at(row);
        const auto value = counterValue(static_cast<Counter>(row));
        text += fmt::format("# HELP medlarway_{0} {1}\n# TYPE medlarway_{0} counter\nmedlarway_{0} {2}\n", info.name, info.help, value);
    }
    return text;
}

} // namespace medlarway
