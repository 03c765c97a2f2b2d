#include "load_exchange/collectors.h"

#include "base/hash.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

DemandTargets demandTargets(const CollectorZone &zone, std::vector<HostId> seeds)
{
    const auto &ranked = zone.ranked;
    const auto selfRank = std::find(ranked.begin(), ranked.end(), zone.self);
    DemandTargets targets{{}, std::move(seeds), zone.source == zone.self, selfRank != ranked.end()};
    // Step 1. The preferred collector. In a large zone the first host by rank has no other reporters than the collectors, which report to
    // it.
    const auto needed = 1 + (zone.hosts + kReportersPerCollector - 1) / kReportersPerCollector;
    const auto collectors = std::min(needed, ranked.size());
    const bool large = zone.hosts > kReportersPerCollector && collectors > 1;
    const bool collects = targets.reader || (large && static_cast<std::size_t>(selfRank - ranked.begin()) < collectors);
    std::vector<HostId> hosts;
    if (large && !collects) {
        hosts.push_back(ranked[1 + combineHash(zone.self.value, collectors) % (collectors - 1)]);
    }
    if (!collects) {
        hosts.push_back(zone.source);
    }
    // Step 2. The others, should it not reply: those before this host by rank, so that the first of those that reply remains.
    hosts.insert(hosts.end(), ranked.begin(), selfRank);
    if (collects && !targets.reader) {
        hosts.push_back(zone.source);
    }
    for (const auto host : hosts) {
        if (host != zone.self && std::find(targets.collectors.begin(), targets.collectors.end(), host) == targets.collectors.end()) {
            targets.collectors.push_back(host);
        }
    }
    return targets;
}

} // namespace medlarway
