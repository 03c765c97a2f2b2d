#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <boost/unordered/unordered_flat_set.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// What may be done with the requests of a route.
enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Download,
};

/// A service that a route sends new flows to.
struct RouteTarget {
    std::string service;
    std::uint32_t weight = 1;

    friend bool operator==(const RouteTarget &, const RouteTarget &) = default;
};

/// Where flows to one address go.
struct FlowRoute {
    std::string name;
    Endpoint address;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration deadline{}; ///< for one request
    std::uint32_t priority = 0; ///< 0 is the highest
    std::vector<RouteTarget> targets;

    friend bool operator==(const FlowRoute &, const FlowRoute &) = default;
};

/// One version of the operator's configuration.
struct RouteConfig {
    std::uint64_t version = 0;
    std::vector<FlowRoute> routes;
    Duration idleTimeout = std::chrono::seconds{15}; ///< a flow that was silent for so long may be forgotten
    std::vector<std::string> services; ///< that exist, those without a route too

    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// The routes in force. Versions only rise.
class RouteTable
{
public:
    /// Puts a version in force; false where it is not newer than the one in force.
    bool apply(RouteConfig config);

    /// The route of an address; nullptr where there is none.
    const FlowRoute *find(const Endpoint &address) const;

    /// Whether the route of the address sends flows to the service, or did in an earlier version: open flows stay where they are.
    bool everAllowed(const Endpoint &address, const std::string &service) const;

    /// Whether the address had a route that an operator took away; false where this host never had it.
    bool wasRemoved(const Endpoint &address) const
    {
        return removed_.contains(address);
    }

    /// The version in force; 0 before the first.
    std::uint64_t version() const
    {
        return config_.version;
    }

    const RouteConfig &config() const
    {
        return config_;
    }

private:
    void noteRemoved();

    RouteConfig config_;
    boost::unordered_flat_map<Endpoint, std::size_t, std::hash<Endpoint>> byAddress_;
    boost::unordered_flat_map<Endpoint, std::vector<std::string>, std::hash<Endpoint>> allowed_;
    boost::unordered_flat_set<Endpoint, std::hash<Endpoint>> removed_;
};

} // namespace medlarway
