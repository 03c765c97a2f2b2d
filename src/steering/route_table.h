#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// Kind of a route's requests, which limits what may be done with them.
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

/// Maps an address to the services that serve it.
struct FlowRoute {
    std::string name;
    Endpoint address;
    RouteKind kind = RouteKind::NonIdempotent;
    Duration deadline{}; ///< time limit for a single request
    std::uint32_t priority = 0; ///< 0 is the highest
    std::vector<RouteTarget> targets;
    Duration targetLatency{}; ///< within which callers want a response; 0 if none is stated: new flows are never refused for load

    friend bool operator==(const FlowRoute &, const FlowRoute &) = default;
};

/// What an upstream of a service can handle while it warms up after its start.
struct ServiceWarmUp {
    std::string service;
    double perSecond = 0; ///< requests per second
    Duration duration{}; ///< time from the start

    friend bool operator==(const ServiceWarmUp &, const ServiceWarmUp &) = default;
};

/// A version of the operator's configuration.
struct RouteConfig {
    std::uint64_t version = 0;
    std::vector<FlowRoute> routes;
    Duration idleTimeout = std::chrono::seconds{15}; ///< a flow without packets for this long may be discarded
    std::vector<std::string> services; ///< all existing services, including those without a route
    std::vector<ServiceWarmUp> warmUps; ///< of the services whose upstreams are limited while they warm up

    friend bool operator==(const RouteConfig &, const RouteConfig &) = default;
};

/// The current routes. The version never decreases.
class RouteTable
{
public:
    /// Applies a configuration; false if it is not newer than the current one.
    bool apply(RouteConfig config);

    /// The route of an address; nullptr if there is none.
    const FlowRoute *find(const Endpoint &address) const;

    /// Whether the address's route targets the service, or targeted it in an earlier version: flows stay on their upstream when a route
    /// changes its services.
    bool everAllowed(const Endpoint &address, const std::string &service) const;

    /// The current version; 0 before the first configuration.
    std::uint64_t version() const
    {
        return config_.version;
    }

    const RouteConfig &config() const
    {
        return config_;
    }

private:
    RouteConfig config_;
    boost::unordered_flat_map<Endpoint, std::size_t, std::hash<Endpoint>> byAddress_; ///< index into config_.routes
    boost::unordered_flat_map<Endpoint, std::vector<std::string>, std::hash<Endpoint>> allowed_; ///< services that each route has or had
};

} // namespace medlarway
