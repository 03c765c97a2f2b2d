// Measures the distribution of the catalogue in a simulated fleet: the time until a change is in force on all hosts, its cost
// in messages and processor time, and the rate of reads from the platform.
// Usage: catalogue_sync_bench [seed [hosts]]
#include "base/hash.h"
#include "catalogue/catalogue_sync.h"
#include "core_fleet.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

using Fleet = CoreFleet<CatalogueSync, CatalogueMessage>;

constexpr std::size_t kShards = 16;
constexpr std::size_t kServicesPerShard = 156; // 2,500 addresses in all
constexpr Duration kWatchTimeout = 30s; // the platform completes a watch request after this time if nothing changes

struct Setup {
    std::size_t hosts = 0;
    double loss = 0.0;
    std::uint64_t seed = 0;
};

std::string shardName(std::size_t number)
{
    return fmt::format("shard-{:02}", number);
}

Service makeService(std::size_t shard, std::size_t number, std::uint64_t revision)
{
    Service service;
    service.name = fmt::format("service-{:02}-{:03}", shard, number);
    service.owner = "trust";
    service.address = Endpoint{0x0a100000U + static_cast<std::uint32_t>(shard * 256 + number), 443};
    for (std::uint32_t index = 0; index < 4; ++index) {
        const bool draining = index == revision % 4;
        service.upstreams.push_back(
            Upstream{Endpoint{0x0a200000U + static_cast<std::uint32_t>(number * 4 + index), 8080}, benchZone(index), draining});
    }
    return service;
}

// Creates a shard at a revision. Each revision changes one service of the previous one.
CatalogueShard makeShard(std::size_t number, std::uint64_t revision)
{
    CatalogueShard shard{shardName(number), revision, {}};
    for (std::size_t index = 0; index < kServicesPerShard; ++index) {
        const auto changed = index < revision ? revision - (revision - index) % kServicesPerShard : 0;
        shard.services.push_back(makeService(number, index, changed));
    }
    return shard;
}

View viewOf(std::size_t hosts)
{
    View view{1, {}};
    for (std::size_t number = 0; number < hosts; ++number) {
        view.members.push_back(Member{benchHost(number), benchZone(number), HostState::Alive, 1});
    }
    return view;
}

CatalogueSync makeCore(const Setup &setup, const View &view, std::size_t number, Time now)
{
    CatalogueSyncOptions options;
    options.self = benchHost(number);
    options.zone = benchZone(number);
    options.seed = combineHash(setup.seed, number);
    for (std::size_t shard = 0; shard < kShards; ++shard) {
        options.shards.push_back(shardName(shard));
    }
    CatalogueSync core(options);
    core.setView(view, now);
    return core;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

std::size_t countHostsAt(const Fleet &fleet, const std::string &shard, std::uint64_t revision)
{
    return static_cast<std::size_t>(std::count_if(fleet.cores.begin(), fleet.cores.end(),
                                                  [&](const auto &entry) { return entry.second.shardRevision(shard) >= revision; }));
}

// Prints the cost since the last reset and resets it. The duration is the simulated time since then.
void printCost(Fleet &fleet, const char *phase, Duration duration)
{
    const auto perHost = static_cast<double>(fleet.cores.size()) * seconds(duration);
    const auto &cost = fleet.cost;
    fmt::print("  {}: {:.0f} bytes/s and {:.2f} messages/s sent by a host, largest {} bytes, {:.0f} ns a call, {:.4f}% of a core\n", phase,
               static_cast<double>(cost.bytes) / perHost, static_cast<double>(cost.messages) / perHost, cost.maxMessageBytes,
               static_cast<double>(cost.callTime.count()) / static_cast<double>(std::max<std::size_t>(cost.calls, 1)),
               100.0 * std::chrono::duration<double>(cost.callTime).count() / perHost);
    fleet.cost = {};
}

// Gives a change to one reader in the first zone. Returns the time until it is in force on all hosts.
Duration publishChange(Fleet &fleet, const CatalogueShard &shard)
{
    auto &reader = fleet.cores.begin()->second;
    reader.offer(shard, fleet.now, fleet.outbox);
    fleet.flush(fleet.cores.begin()->first);
    return fleet.runUntil(
        60s, [&] { return countHostsAt(fleet, shard.name, shard.revision) == fleet.cores.size(); }, 5ms);
}

void measureChanges(Fleet &fleet, std::uint64_t &revision)
{
    constexpr int kChanges = 20;
    std::vector<double> delays;
    double underTwoSeconds = 0;
    fleet.cost = {};
    const auto start = fleet.now;
    for (int change = 0; change < kChanges; ++change) {
        delays.push_back(seconds(publishChange(fleet, makeShard(static_cast<std::size_t>(change) % kShards, ++revision))));
        underTwoSeconds += delays.back() < 2.0 ? 1 : 0;
        fleet.run(1s);
    }
    const auto duration = fleet.now - start;
    std::sort(delays.begin(), delays.end());
    fmt::print("  change of one service until in force everywhere: median {:.2f} s, worst {:.2f} s, {:.0f} of {} under 2 s\n",
               delays[delays.size() / 2], delays.back(), underTwoSeconds, kChanges);
    printCost(fleet, fmt::format("a change each {:.1f} s", seconds(duration) / kChanges).c_str(), duration);
}

void measureIdle(Fleet &fleet)
{
    fleet.cost = {};
    fleet.run(30s);
    printCost(fleet, "at rest", 30s);
}

void measureEmptyStart(Fleet &fleet, const Setup &setup, const View &view)
{
    const auto last = setup.hosts - 1;
    fleet.put(benchHost(last), makeCore(setup, view, last, fleet.now));
    const auto &core = fleet.cores.at(benchHost(last));
    const auto ready = fleet.runUntil(
        120s, [&] { return core.readyToServe(fleet.now); }, 5ms);
    std::size_t receivedShards = 0;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
        receivedShards += core.shardRevision(shardName(shard)) > 0 ? 1 : 0;
    }
    fmt::print("  empty host: ready after {:.2f} s with {} of {} shards\n", seconds(ready), receivedShards, kShards);
}

// Derives the read rate of the platform from the number of watches. A watch request completes at a change or after
// kWatchTimeout and is then sent again; each request is one read.
void measureReads(Fleet &fleet, const View &view)
{
    std::size_t watches = 0;
    for (const auto &[id, core] : fleet.cores) {
        watches += core.shardsToRead().size();
    }
    constexpr double kChangesPerSecond = 2700.0 / 86400.0;
    const auto perShard = static_cast<double>(watches) / kShards;
    auto viewWithoutFirst = view;
    viewWithoutFirst.members.erase(viewWithoutFirst.members.begin());
    std::size_t moved = 0;
    for (auto &[id, core] : fleet.cores) {
        const auto before = core.shardsToRead().size();
        core.setView(viewWithoutFirst, fleet.now);
        moved += core.shardsToRead().size() > before ? core.shardsToRead().size() - before : 0;
        core.setView(view, fleet.now);
    }
    fmt::print(
        "  platform: {} watches, {:.1f} reads/s at rest, {:.1f} reads/s with 2,700 changes a day; {} watches move when one host goes\n",
        watches, static_cast<double>(watches) / seconds(kWatchTimeout),
        static_cast<double>(watches) / seconds(kWatchTimeout) + perShard * kChangesPerSecond, moved);
}

void measure(const Setup &setup)
{
    fmt::print("{} hosts, {:.0f}% of messages lost, seed {}\n", setup.hosts, setup.loss * 100, setup.seed);
    const auto view = viewOf(setup.hosts);
    Fleet fleet(setup.seed, NetworkConditions{500us, 3ms, setup.loss, 0.0});
    for (std::size_t number = 0; number < setup.hosts; ++number) {
        fleet.put(benchHost(number), makeCore(setup, view, number, fleet.now));
    }
    // All hosts have the first revision, as if they had started while the platform was reachable.
    std::uint64_t revision = 1;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
        const auto first = makeShard(shard, revision);
        for (auto &[id, core] : fleet.cores) {
            core.offer(first, fleet.now, fleet.outbox);
            fleet.outbox.clear();
        }
    }
    fleet.run(5s);
    measureIdle(fleet);
    measureChanges(fleet, revision);
    measureEmptyStart(fleet, setup, view);
    measureReads(fleet, view);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    for (const auto hosts : fleetSizes(argc, argv)) {
        for (const double loss : {0.0, 0.1, 0.3}) {
            measure(Setup{hosts, loss, seed});
        }
    }
    return 0;
}
