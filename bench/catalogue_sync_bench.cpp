// Many catalogue cores in one loop: how long until a change is in force everywhere, what it costs, and
// how often the platform is read.
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
constexpr Duration kWatchWait = 30s; // how long the platform holds a watch

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

// A shard of which each revision changes one service.
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

double seconds(Duration span)
{
    return std::chrono::duration<double>(span).count();
}

std::size_t hostsAt(const Fleet &fleet, const std::string &shard, std::uint64_t revision)
{
    return static_cast<std::size_t>(std::count_if(fleet.cores.begin(), fleet.cores.end(),
                                                  [&](const auto &entry) { return entry.second.shardRevision(shard) >= revision; }));
}

// Prints what the fleet sent since the last print.
void printCost(Fleet &fleet, const char *phase, Duration span)
{
    const auto perHost = static_cast<double>(fleet.cores.size()) * seconds(span);
    const auto &cost = fleet.cost;
    fmt::print("  {}: {:.0f} bytes/s and {:.2f} messages/s sent by a host, largest {} bytes, {:.0f} ns a call, {:.4f}% of a core\n", phase,
               static_cast<double>(cost.bytes) / perHost, static_cast<double>(cost.messages) / perHost, cost.largest,
               static_cast<double>(cost.processor.count()) / static_cast<double>(std::max<std::size_t>(cost.calls, 1)),
               100.0 * std::chrono::duration<double>(cost.processor).count() / perHost);
    fleet.cost = {};
}

// One reader in the first zone sees the change; returns the span until it is in force everywhere.
Duration publishOne(Fleet &fleet, const CatalogueShard &shard)
{
    auto &reader = fleet.cores.begin()->second;
    reader.offer(shard, fleet.now, fleet.outbox);
    fleet.flush(fleet.cores.begin()->first);
    return fleet.runUntil(
        60s, [&] { return hostsAt(fleet, shard.name, shard.revision) == fleet.cores.size(); }, 5ms);
}

void measureChanges(Fleet &fleet, std::uint64_t &revision)
{
    constexpr int kChanges = 20;
    std::vector<double> spans;
    double withinTwo = 0;
    fleet.cost = {};
    const auto start = fleet.now;
    for (int change = 0; change < kChanges; ++change) {
        spans.push_back(seconds(publishOne(fleet, makeShard(static_cast<std::size_t>(change) % kShards, ++revision))));
        withinTwo += spans.back() < 2.0 ? 1 : 0;
        fleet.run(1s);
    }
    const auto span = fleet.now - start;
    std::sort(spans.begin(), spans.end());
    fmt::print("  change of one service until in force everywhere: median {:.2f} s, worst {:.2f} s, {:.0f} of {} under 2 s\n",
               spans[spans.size() / 2], spans.back(), withinTwo, kChanges);
    printCost(fleet, fmt::format("a change each {:.1f} s", seconds(span) / kChanges).c_str(), span);
}

void measureRest(Fleet &fleet)
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
    std::size_t held = 0;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
        held += core.shardRevision(shardName(shard)) > 0 ? 1 : 0;
    }
    fmt::print("  empty host: ready after {:.2f} s with {} of {} shards\n", seconds(ready), held, kShards);
}

// Counts watches: each waits kWatchWait or until a change, and starts anew; each start is one read.
void measureReads(Fleet &fleet, const View &view)
{
    std::size_t watches = 0;
    for (const auto &[id, core] : fleet.cores) {
        watches += core.shardsToRead().size();
    }
    constexpr double kChangesPerSecond = 2700.0 / 86400.0;
    const auto perShard = static_cast<double>(watches) / kShards;
    auto without = view;
    without.members.erase(without.members.begin());
    std::size_t moved = 0;
    for (auto &[id, core] : fleet.cores) {
        const auto before = core.shardsToRead().size();
        core.setView(without, fleet.now);
        moved += core.shardsToRead().size() > before ? core.shardsToRead().size() - before : 0;
        core.setView(view, fleet.now);
    }
    fmt::print(
        "  platform: {} watches, {:.1f} reads/s at rest, {:.1f} reads/s with 2,700 changes a day; {} watches move when one host goes\n",
        watches, static_cast<double>(watches) / seconds(kWatchWait),
        static_cast<double>(watches) / seconds(kWatchWait) + perShard * kChangesPerSecond, moved);
}

void measure(const Setup &setup)
{
    fmt::print("{} hosts, {:.0f}% of messages lost, seed {}\n", setup.hosts, setup.loss * 100, setup.seed);
    const auto view = viewOf(setup.hosts);
    Fleet fleet(setup.seed, NetworkConditions{500us, 3ms, setup.loss, 0.0});
    for (std::size_t number = 0; number < setup.hosts; ++number) {
        fleet.put(benchHost(number), makeCore(setup, view, number, fleet.now));
    }
    // Every host holds the first revision, as after a start with the platform at hand.
    std::uint64_t revision = 1;
    for (std::size_t shard = 0; shard < kShards; ++shard) {
        const auto first = makeShard(shard, revision);
        for (auto &[id, core] : fleet.cores) {
            core.offer(first, fleet.now, fleet.outbox);
            fleet.outbox.clear();
        }
    }
    fleet.run(5s);
    measureRest(fleet);
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
