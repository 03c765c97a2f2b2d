#pragma once

#include "base/host.h"
#include "load_exchange/demand_exchange.h"

#include <cstddef>
#include <vector>

namespace medlarway
{

/// What a host knows of its zone.
struct CollectorZone {
    HostId self;
    HostId source; ///< the host that this one follows; itself if it reads the platform
    std::vector<HostId> ranked; ///< the first hosts of the zone by rank, with this one
    std::size_t hosts = 1; ///< known hosts of the zone

    friend bool operator==(const CollectorZone &, const CollectorZone &) = default;
};

/// Whom a host may tell its demand. In a zone of up to kReportersPerCollector hosts it reports to its source; in a larger one the first
/// hosts by rank share the reports, and report to the first of them. Next come the hosts before it by rank.
DemandTargets demandTargets(const CollectorZone &zone, std::vector<HostId> seeds);

/// How many hosts report to one collector. With 12, two services and five zones an interval takes 0.6 s at 5 KB/s; with the 32 followers
/// that a reader may have it would take 1.6 s, and the demands would be too old to be used before the next ones arrive.
inline constexpr std::size_t kReportersPerCollector = 12;

} // namespace medlarway
