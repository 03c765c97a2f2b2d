// Compares schemes to guard idempotency keys under the same seeded requests and injected faults: fraction of refused requests,
// messages per request, added latency and keys that ran twice. The fleet has five hosts in three availability zones.
#include "harness/guard_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <array>
#include <fmt/format.h>
#include <string_view>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first run");
ABSL_FLAG(int, seeds, 3, "runs of each scheme under each fault, with consecutive seeds");

using namespace medlarway;

namespace
{

constexpr Duration kWindow = std::chrono::seconds{30};
constexpr Duration kLease = std::chrono::seconds{1};
constexpr std::size_t kHosts = 5;
constexpr int kRequests = 3'000;
constexpr Duration kRequestInterval = std::chrono::milliseconds{100};

// A scheme to guard idempotency keys.
struct Scheme {
    std::string_view name;
    std::size_t guardCount;
    std::vector<std::size_t> listed; ///< hosts that can be guards; empty if all can
    Duration startupAbstention; ///< how long a started guard abstains from votes
};

// The fault that is injected repeatedly during a run.
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
    std::size_t claims = 0;
    std::size_t refused = 0; ///< first requests with a key that were not granted a run
    std::size_t mayHaveRun = 0; ///< refused requests with the verdict MayHaveRun, although the key never ran
    std::size_t firstRequests = 0; ///< first requests with a key
    std::size_t messages = 0;
    std::vector<double> latenciesMs;
    std::size_t doubleRuns = 0; ///< keys that ran twice within their window
};

GuardSettings settingsOf(const Scheme &scheme)
{
    GuardSettings settings;
    settings.guardsPerKey = scheme.guardCount;
    settings.lease = kLease;
    settings.maxWindow = kWindow;
    settings.startupAbstention = scheme.startupAbstention;
    return settings;
}

// Starts a fault every 30 s and ends it after 10 s, unless stated otherwise below.
void injectFault(GuardFleet &fleet, Fault fault, int request)
{
    constexpr int kPeriod = 300; // requests, which are 30 s
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
        // Every other pause lasts almost as long as the key window.
        const bool resumes = (request / kPeriod) % 2 == 0 ? ends : request % kPeriod == kPeriod - 1;
        resumes ? fleet.wake(host) : void();
    }
    if (fault == Fault::OneWay || fault == Fault::Partition || fault == Fault::PartitionAndRestart) {
        // Isolates the first availability zone, which has two hosts, and a single host in turn.
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

Result run(const Scheme &scheme, Fault fault, std::uint64_t seed)
{
    GuardFleet fleet(kHosts, settingsOf(scheme), kWindow, seed, scheme.listed);
    Random random(seed);
    fleet.advance(kWindow + std::chrono::seconds{3});
    const auto sentBefore = fleet.network().sent();
    std::vector<std::size_t> firstRequests;
    for (int request = 0; request < kRequests; ++request) {
        injectFault(fleet, fault, request);
        const auto before = fleet.history().size();
        const bool isRepeat = request > 0 && random.below(5) == 0;
        const auto number = isRepeat ? static_cast<std::uint64_t>(request) - 1 - random.below(std::min(request, 100))
                                     : static_cast<std::uint64_t>(request);
        fleet.request(random.below(kHosts), GuardKey{1, 1, number});
        if (!isRepeat && fleet.history().size() > before) {
            firstRequests.push_back(before);
        }
        fleet.advance(kRequestInterval);
    }
    fleet.advance(std::chrono::seconds{5});
    Result result;
    result.claims = fleet.history().size();
    result.messages = fleet.network().sent() - sentBefore;
    result.doubleRuns = fleet.countDoubleRuns();
    result.firstRequests = firstRequests.size();
    for (const auto index : firstRequests) {
        const auto &invocation = fleet.history()[index];
        const bool isGranted = invocation.returned && invocation.verdict == GuardVerdict::Run;
        result.refused += isGranted ? 0 : 1;
        result.mayHaveRun += invocation.returned && invocation.verdict == GuardVerdict::MayHaveRun ? 1 : 0;
        if (isGranted) {
            result.latenciesMs.push_back(std::chrono::duration<double, std::milli>(*invocation.returned - invocation.invoked).count());
        }
    }
    return result;
}

void addTo(Result &total, const Result &result)
{
    total.claims += result.claims;
    total.refused += result.refused;
    total.mayHaveRun += result.mayHaveRun;
    total.firstRequests += result.firstRequests;
    total.messages += result.messages;
    total.doubleRuns += result.doubleRuns;
    total.latenciesMs.insert(total.latenciesMs.end(), result.latenciesMs.begin(), result.latenciesMs.end());
}

double quantile(std::vector<double> &values, double fraction)
{
    if (values.empty()) {
        return 0.0;
    }
    const auto position = static_cast<std::ptrdiff_t>(fraction * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + position, values.end());
    return values[static_cast<std::size_t>(position)];
}

void print(std::string_view scheme, std::string_view fault, Result &result)
{
    const auto percentage = [](std::size_t part, std::size_t whole) {
        return whole == 0 ? 0.0 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
    };
    const auto median = quantile(result.latenciesMs, 0.5);
    const auto p99 = quantile(result.latenciesMs, 0.99);
    fmt::print("| {} | {} | {:.2f} | {:.2f} | {:.1f} | {:.1f} | {:.1f} | {} |\n", scheme, fault,
               percentage(result.refused, result.firstRequests), percentage(result.mayHaveRun, result.firstRequests),
               static_cast<double>(result.messages) / static_cast<double>(result.claims), median, p99, result.doubleRuns);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const std::vector<Scheme> schemes{
        {"majority of 5 listed", 5, {}, kWindow},
        {"majority of 3 listed", 3, {}, kWindow},
        {"home and witness", 2, {}, kWindow},
        {"one availability zone", 5, {0, 1}, kWindow},
        {"majority of 5, no silence", 5, {}, Duration{0}},
    };
    fmt::print("| way | fault | refused % | unsure % | messages a request | p50 ms | p99 ms | doubles |\n");
    fmt::print("| --- | --- | --- | --- | --- | --- | --- | --- |\n");
    for (const auto &scheme : schemes) {
        for (std::size_t fault = 0; fault < kFaultNames.size(); ++fault) {
            Result total;
            for (int index = 0; index < absl::GetFlag(FLAGS_seeds); ++index) {
                addTo(total, run(scheme, static_cast<Fault>(fault), absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(index)));
            }
            print(scheme.name, kFaultNames[fault], total);
        }
    }
    return 0;
}
