#pragma once

#include "model/scenario.h"

#include <cstdint>
#include <vector>

namespace medlarway::model
{

/// A request as the fabric delivers it to a host.
struct Arrival {
    Time at;
    std::size_t host = 0; ///< index into the scenario's hosts
    std::uint64_t caller = 0;
    std::uint64_t path = 0;
    Duration serviceTime{}; ///< how long a warm upstream takes to run it
    Time deadline;
    bool isLong = false; ///< runs past the service's short bound
};

/// All requests of a run in the order of arrival. They depend on the scenario and seed only, so that every policy gets
/// the same ones.
std::vector<Arrival> generateArrivals(const Scenario &scenario, std::uint64_t seed);

/// The offered load at a time since the start of the run, as a fraction of all slots.
double offeredLoad(const Scenario &scenario, Duration at);

/// The mean service time over all requests.
Duration meanServiceTime(const Workload &workload);

} // namespace medlarway::model
