#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <vector>

namespace medlarway
{

/// Counts of a route's flows. They tell long-lived flows with idle times from flows opened for a single request.
struct RouteUsage {
    std::uint32_t open = 0; ///< open flows
    std::uint32_t running = 0; ///< open flows with an outstanding request
    double openAverage = 0; ///< moving average of open
    double runningAverage = 0; ///< moving average of running

    friend bool operator==(const RouteUsage &, const RouteUsage &) = default;
};

/// Usage of each route, averaged over about the last ten seconds. Not thread-safe.
class RouteUsageTable
{
public:
    /// Index of the record of a route's address, which is created if needed. Indices never change.
    std::uint32_t indexOf(const Endpoint &address);

    /// The same without creating a record.
    std::optional<std::uint32_t> find(const Endpoint &address) const;

    RouteUsage &at(std::uint32_t index)
    {
        return usages_[index];
    }

    /// Average share of a flow's lifetime with an outstanding request, from 0 to 1.
    double busyShare(std::uint32_t index) const;

    /// The same by address, without creating a record.
    double busyShareOf(const Endpoint &address) const;

    /// Adds a sample of each route to its averages. To be called every kSteeringTick.
    void sample();

private:
    std::vector<RouteUsage> usages_;
    boost::unordered_flat_map<Endpoint, std::uint32_t, std::hash<Endpoint>> byAddress_;
};

} // namespace medlarway
