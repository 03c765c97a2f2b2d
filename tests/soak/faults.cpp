#include "soak/faults.h"

#include "base/random.h"

#include <algorithm>
#include <array>
#include <string_view>

namespace medlarway::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::array<std::string_view, static_cast<std::size_t>(FaultKind::Count)> kNames{
    "stop",         "reload",    "change",        "replace",      "kill",         "kill-all",     "pause",
    "crash",        "reuse",     "restart",       "store-busy",   "store-silent", "store-resets", "store-slow",
    "history-gone", "store-cut", "store-one-way", "store-broken", "store-frozen", "zone-cut",     "loss",
};

constexpr Duration kFirst = 500ms;

Duration between(Random &random, Duration least, Duration most)
{
    return least + std::chrono::duration_cast<Duration>((most - least) * random.unit());
}

} // namespace

std::string faultName(FaultKind kind)
{
    return std::string(kNames.at(static_cast<std::size_t>(kind)));
}

// Three series beside each other. Each is of one kind for a while, as a roll of restarts or a storm of changes is, and then of another.
std::vector<Fault> drawFaults(const SoakOptions &options)
{
    constexpr int kSeries = 3;
    constexpr std::uint64_t kLongestSeries = 4;
    Random random(options.seed);
    std::vector<Fault> faults;
    for (int series = 0; series < kSeries; ++series) {
        auto at = kFirst + between(random, 0s, 2s);
        while (at < options.length) {
            const auto kind = static_cast<FaultKind>(random.below(static_cast<std::uint64_t>(FaultKind::Count)));
            const auto times = kind == FaultKind::KillAll ? 1 : 1 + random.below(kLongestSeries);
            const auto gap = between(random, 100ms, 1200ms);
            for (std::uint64_t step = 0; step < times && at < options.length; ++step) {
                faults.push_back({at, kind, random(), between(random, 300ms, 3s)});
                at += gap;
            }
            at += between(random, 200ms, 2500ms);
        }
    }
    std::stable_sort(faults.begin(), faults.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return faults;
}

} // namespace medlarway::soak
