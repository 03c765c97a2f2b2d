#pragma once

#include "model/scenario.h"

#include <cstdint>
#include <vector>

namespace medlarway::model
{

/// One request of a caller's, as the fabric hands it to a host.
struct Arrival {
    Time at;
    std::size_t host = 0; ///< by its place in the scenario
    std::uint64_t caller = 0;
    std::uint64_t path = 0;
    Duration work{}; ///< how long a warm upstream runs it
    Time deadline;
    bool isLong = false; ///< runs past the service's short bound
};

/// All requests of a run, in the order of time. The same seed gives the same requests to every policy.
std::vector<Arrival> drawArrivals(const Scenario &scenario, std::uint64_t seed);

/// The offered load at a time after the start, as a share of all slots.
double offeredLoad(const Scenario &scenario, Duration at);

/// The mean work of a request.
Duration meanWork(const WorkMix &work);

} // namespace medlarway::model
