// Weighs ways to guard idempotency keys on the same seeded requests and faults: share refused, messages for
// each request, added latency and keys that ran twice. Five hosts in three availability zones.
#include "harness/guard_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <fmt/format.h>
#include <string_view>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(int, seeds, 3, "runs of each way under each fault, with following seeds");

using namespace medlarway;

namespace
{

constexpr Duration kWindow = std::chrono::seconds{30};
constexpr Duration kLease = std::chrono::seconds{1};
constexpr std::size_t kHosts = 5;
constexpr int kRequests = 3'000;
constexpr Duration kRequestInterval = std::chrono::milliseconds{100};

/// A way to guard a key.
struct Way {
    std::string_view name;
    std::size_t guardCount;
    std::vector<std::size_t> listed; ///< hosts that guards are drawn from; empty for all
    Duration silence;
};

/// What goes wrong, every kFaultInterval, for a while.
enum class Fault : std::uint8_t {
    None,
    Crash,
    Restart,
    Pause,
    OneWay,
    Partition,
    DifferingLists,
    PartitionAndRestart,
    PauseAndRestart,
    Count,
};

constexpr std::array<std::string_view, 9> kFaultNames{
    "none",      "crash",           "restart empty",       "pause past limit", "one-way partition",
    "partition", "differing lists", "partition + restart", "pause + restart"};

struct Result {
    std::size_t asks = 0;
    std::size_t refused = 0; ///< first requests with a key that got no Run
    std::size_t unsure = 0; ///< of these, answered "may have run" though the key never ran
    std::size_t firsts = 0;
    std::size_t messages = 0;
    std::vector<double> latenciesMs;
    std::size_t doubles = 0;
};

GuardSettings settingsOf(const Way &way)
{
    GuardSettings settings;
    settings.guardsPerKey = way.guardCount;
    settings.lease = kLease;
    settings.maxWindow = kWindow;
    settings.startupAbstention = way.silence;
    return settings;
}

// Begins a fault at the start of each half minute and ends it after a third.
void disturb(GuardFleet &fleet, Fault fault, int request)
{
    constexpr int kPeriod = 300;
    const auto host = static_cast<std::size_t>(request / kPeriod) % fleet.size();
    const auto other = (host + 2) % fleet.size();
    const bool begins = request % kPeriod == 0;
    const bool ends = request % kPeriod == kPeriod / 3;
    const bool restarts = fault == Fault::Restart || fault == Fault::PartitionAndRestart || fault == Fault::PauseAndRestart;
    if (restarts && begins) {
        fleet.crash(other);
        fleet.restart(other);
    }
    if (fault == Fault::Crash) {
        begins ? fleet.crash(host) : void();
        ends ? fleet.restart(host) : void();
    }
    if (fault == Fault::Pause || fault == Fault::PauseAndRestart) {
        begins ? fleet.pause(host) : void();
        // Every other pause outlasts the window.
        const bool wakes = (request / kPeriod) % 2 == 0 ? ends : request % kPeriod == kPeriod - 1;
        wakes ? fleet.wake(host) : void();
    }
    if (fault == Fault::OneWay || fault == Fault::Partition || fault == Fault::PartitionAndRestart) {
        // The first availability zone, of two hosts, or another single host.
        const std::uint64_t mask = (request / kPeriod) % 2 == 0 ? 0b00011 : 1ULL << host;
        begins ? fleet.partition(mask, fault == Fault::OneWay) : void();
        ends ? fleet.network().healAll() : void();
    }
    if (fault == Fault::DifferingLists && (begins || ends)) {
        fleet.changeList(host);
    }
    if (fault == Fault::DifferingLists && request % 20 == 0) {
        fleet.learnList(static_cast<std::size_t>(request / 20) % fleet.size());
    }
}

Result run(const Way &way, Fault fault, std::uint64_t seed)
{
    GuardFleet fleet(kHosts, settingsOf(way), kWindow, seed, way.listed);
    Random random(seed);
    fleet.advance(kWindow + std::chrono::seconds{3});
    const auto sentBefore = fleet.network().sent();
    std::vector<std::size_t> firsts;
    for (int request = 0; request < kRequests; ++request) {
        disturb(fleet, fault, request);
        const auto before = fleet.history().size();
        const bool isRepeat = request > 0 && random.below(5) == 0;
        const auto number = isRepeat ? static_cast<std::uint64_t>(request) - 1 - random.below(std::min(request, 100))
                                     : static_cast<std::uint64_t>(request);
        fleet.request(random.below(kHosts), GuardKey{1, 1, number});
        if (!isRepeat && fleet.history().size() > before) {
            firsts.push_back(before);
        }
        fleet.advance(kRequestInterval);
    }
    fleet.advance(std::chrono::seconds{5});
    Result result;
    result.asks = fleet.history().size();
    result.messages = fleet.network().sent() - sentBefore;
    result.doubles = fleet.countDoubleRuns();
    result.firsts = firsts.size();
    for (const auto index : firsts) {
        const auto &invocation = fleet.history()[index];
        const bool isGranted = invocation.returned && invocation.verdict == GuardVerdict::Run;
        result.refused += isGranted ? 0 : 1;
        result.unsure += invocation.returned && invocation.verdict == GuardVerdict::MayHaveRun ? 1 : 0;
        if (isGranted) {
            result.latenciesMs.push_back(std::chrono::duration<double, std::milli>(*invocation.returned - invocation.invoked).count());
        }
    }
    return result;
}

void addTo(Result &total, const Result &result)
{
    total.asks += result.asks;
    total.refused += result.refused;
    total.unsure += result.unsure;
    total.firsts += result.firsts;
    total.messages += result.messages;
    total.doubles += result.doubles;
    total.latenciesMs.insert(total.latenciesMs.end(), result.latenciesMs.begin(), result.latenciesMs.end());
}

double quantile(std::vector<double> &values, double share)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto position = static_cast<std::ptrdiff_t>(share * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

void print(std::string_view way, std::string_view fault, Result &result)
{
    const auto share = [](std::size_t part, std::size_t whole) {
        return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    const auto median = quantile(result.latenciesMs, 0.5);
    const auto high = quantile(result.latenciesMs, 0.99);
    fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.1f} | {} |\n", way, fault, share(result.refused, result.firsts),
               share(result.unsure, result.firsts), static_cast<double>(result.messages) / static_cast<double>(result.asks), median, high,
               result.doubles);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::vector<Way> ways{
        {"majority of 5 listed", 5, {}, kWindow},
        {"majority of 3 listed", 3, {}, kWindow},
        {"home and witness", 2, {}, kWindow},
        {"one availability zone", 5, {0, 1}, kWindow},
        {"majority of 5, no silence", 5, {}, Duration{0}},
    };
    fmt::print("| way | fault | refused % | unsure % | messages a request | p50 ms | p99 ms | doubles |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &way : ways) {
        for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
            Result total;
            for (int index = 0; index < absl::GetFlag(FLAGS_seeds); ++index) {
                addTo(total, run(way, static_cast<Fault>(fault), absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(index)));
            }
            print(way.name, kFaultNames[fault], total);
        }
    }
    return 0;
}
