#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <vector>

namespace medlarway
{

/// How the flows of one route are used: kept open with pauses, or opened for one request.
struct RouteUsage {
    std::uint32_t open = 0; ///< flows now
    std::uint32_t running = 0; ///< of them, those that wait for an answer now
    double openAverage = 0;
    double runningAverage = 0;

    friend bool operator==(const RouteUsage &, const RouteUsage &) = default;
};

/// Usage of each route's flows, averaged over the last seconds. Not thread-safe.
class RouteUsages
{
public:
    /// Where the usage of an address stands; made where it has none. Stays the same.
    std::uint32_t indexOf(const Endpoint &address);

    RouteUsage &at(std::uint32_t index)
    {
        return usages_[index];
    }

    /// The share of a flow's life in which a request of it runs, from 0 to 1.
    double busyShare(std::uint32_t index) const;

    /// Takes a sample of each route. Call it at a steady interval.
    void sample();

private:
    std::vector<RouteUsage> usages_;
    boost::unordered_flat_map<Endpoint, std::uint32_t, std::hash<Endpoint>> byAddress_;
};

} // namespace medlarway
