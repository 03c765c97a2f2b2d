#pragma once

#include "load/fleet_demand.h"
#include "load/pool_share.h"
#include "steering/directory.h"
#include "steering/route_table.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// Index of a pool; valid until the next refresh.
using PoolIndex = std::uint32_t;
inline constexpr PoolIndex kNoPool = 0xffffffff;

/// The upstreams of one service in one availability zone, and this host's load on them.
struct Pool {
    std::string service;
    AvailabilityZone zone;
    bool own = false; ///< in this host's zone
    double slots = 0; ///< of the upstreams that take flows
    double runningSlots = 0; ///< of those and of the suspected ones to which no connection has failed: they may be full
    double load = 0; ///< mean number of concurrent requests expected from this host's flows
    double requestsPerSlot = 1; ///< response time divided by processing time, at the latest response; see measuredRequests()
    Time sampledAt; ///< time of the latest of these responses
    std::optional<ZoneDemand> told; ///< demand of the zone's hosts
    std::uint32_t upstreams = 0; ///< listed upstreams, whatever their state
};

/// The requests per slot of a pool as they count at a time: without responses they approach 1.
double measuredRequests(const Pool &pool, Time now);

/// The pools that have room for a flow.
class OpenPools
{
public:
    /// Opens or closes all pools.
    void setAll(std::size_t count, bool open)
    {
        open_.assign(count, open ? 1 : 0);
    }

    void set(PoolIndex pool, bool open)
    {
        open_[pool] = open ? 1 : 0;
    }

    /// True for a pool that is not known yet, which is not limited.
    bool contains(PoolIndex pool) const
    {
        return pool >= open_.size() || open_[pool] != 0;
    }

private:
    std::vector<std::uint8_t> open_;
};

/// How many new flows of a route were handled in which way.
struct RouteLoadCounts {
    std::uint64_t atOnce = 0; ///< sent to an upstream at once
    std::uint64_t afterWaiting = 0; ///< sent to an upstream after waiting for room
    std::uint64_t otherZone = 0; ///< of both, those sent to another zone
    std::uint64_t refused = 0; ///< reset for want of room

    RouteLoadCounts &operator+=(const RouteLoadCounts &other)
    {
        atOnce += other.atOnce;
        afterWaiting += other.afterWaiting;
        otherZone += other.otherZone;
        refused += other.refused;
        return *this;
    }

    friend bool operator==(const RouteLoadCounts &, const RouteLoadCounts &) = default;
};

/// Load of a flow until the response to its first request, in concurrent requests.
inline constexpr double kNewFlowLoad = 1;

/// What is known of the requests of a route.
struct RouteLoad {
    std::string name;
    Duration targetLatency{}; ///< bounded by the deadline; 0: the route has no limit
    Duration deadline{}; ///< 0: none
    std::uint32_t priority = 0;
    std::uint32_t higherPriorities = 0; ///< distinct higher priorities among the routes of its services
    /// Learned processing time; 0 before the first response. Not the mean of UpstreamSpeeds, which is that of all responses and contains
    /// the wait for a slot.
    double processingNs = 0;
    std::uint32_t samples = 0; ///< responses that it was learned from, up to a bound
    std::uint64_t service = 0; ///< hash of the first service that it sends flows to
    std::uint32_t waiting = 0; ///< flows that wait now
    double load = 0; ///< mean number of concurrent requests expected from this host's flows
    double refused = 0; ///< mean number of concurrent requests of refused flows
    double refusedTime = 0; ///< sum of the expected response times of the flows refused since the last refresh, in seconds
    double demand = 0; ///< mean demand of this host's callers, in concurrent requests
    bool exceedsShares = false; ///< so does the demand of its priority and the higher ones, by more than random peaks
    RouteLoadCounts counts;

    /// Mean processing time, learned or assumed.
    Duration processing() const;

    double depth = kMinDepth; ///< limit of the concurrent requests per slot, that of all routes of its priority to the service

    /// Limit of the concurrent requests per slot if no other route had its priority.
    double ownDepth() const;
};

/// A service that comes into overload, which is when flows wait or are refused, or that leaves it.
struct OverloadChange {
    std::string service;
    bool began = false;
    double ownSlots = 0; ///< slots in the own zone
    double ownLoad = 0; ///< this host's load on them
    double requestsPerSlot = 0; ///< as measured in the own zone
    double demand = 0; ///< of this host's callers, in concurrent requests
    std::optional<double> toldDemand; ///< of the own zone, if told
    std::optional<double> smallestShare; ///< this host's share of the own zone, of the route with the smallest one
};

/// A pool of a service with limited routes, for the operator's pages. Limit and share are those of the route with the highest ones.
struct PoolView {
    PoolIndex pool = kNoPool;
    double limit = 0; ///< concurrent requests of all hosts
    double share = 0; ///< this host's part of it
    std::uint32_t waiting = 0; ///< flows that wait for the service, whatever the zone
    bool overloaded = false; ///< see OverloadChange
};

/// What PoolLoads decides with besides its pools.
struct PoolLoadOptions {
    AvailabilityZone zone; ///< of this host
    std::uint64_t seed = 1; ///< differs between hosts
};

/// This host's load on each pool and its shares of them. Does no I/O and reads no clock. Not thread-safe.
class PoolLoads
{
public:
    explicit PoolLoads(PoolLoadOptions options);

    /// Applies the routes of a configuration; usageOf gives the index of a route.
    template<class UsageOf>
    void applyRoutes(const RouteConfig &config, UsageOf usageOf)
    {
        for (auto &route : routes_) {
            route.targetLatency = {};
        }
        for (auto &[name, service] : services_) {
            service.routes.clear();
        }
        for (const auto &route : config.routes) {
            applyRoute(config, route, usageOf(route));
        }
        updateDepths();
    }

    /// Recomputes slots and loads from the upstreams' records, in which it sets the pool. To be called every kSteeringTick.
    void refresh(UpstreamDirectory &directory, Time now);

    /// Whether an upstream warmed up under a limit at the last refresh().
    bool hasLimitedUpstreams() const
    {
        return hasLimitedUpstreams_;
    }

    /// Changes the load of a route and of an upstream's pool.
    void addLoad(const UpstreamRecord &upstream, std::uint32_t route, double change)
    {
        addRouteLoad(route, change);
        if (upstream.countsInPool && upstream.pool < pools_.size()) {
            pools_[upstream.pool].load += change;
        }
    }

    /// Changes the load of a route only.
    void addRouteLoad(std::uint32_t route, double change)
    {
        if (route < routes_.size()) {
            routes_[route].load += change;
        }
    }

    /// Sets the load of all routes to 0, before it is added up anew.
    void clearRouteLoads()
    {
        for (auto &route : routes_) {
            route.load = 0;
        }
    }

    /// Records the response time of a request, the first one outstanding on its flow.
    void recordResponse(const UpstreamRecord &upstream, std::uint32_t route, Duration response, Time now);

    /// Records that a request got no response for so long that it has failed, although its client did not retransmit it.
    void recordLoss(const UpstreamRecord &upstream, std::uint32_t route, Time now);

    /// Whether the service of the route has been short of room for some time. A shortage that has just begun may pass as upstreams and
    /// hosts return, and the room of a small service is not known well enough: a late response costs callers less than none.
    bool isShort(const FlowRoute &route) const;

    /// Whether flows of the route may be refused: the service is short of room, and the demand of the route's priority and of the higher
    /// ones exceeds this host's shares. A random peak of a host in a service with free slots does not last.
    bool mayRefuse(const FlowRoute &route, std::uint32_t usage) const
    {
        return routes_.at(usage).exceedsShares && isShort(route);
    }

    /// Whether hosts of the own zone tell that all its slots of a service, given by its hash, are asked for.
    bool isToldFull(std::uint64_t service) const;

    /// Whether any pool has room for a flow of the route that adds this load, and sets which. True if the route's pools are not limited.
    bool findRoom(const FlowRoute &route, std::uint32_t usage, double load, OpenPools &open, Time now) const;

    /// The same for a flow that is to be placed; sets openPools().
    bool findRoom(const FlowRoute &route, std::uint32_t usage, double load, Time now)
    {
        return findRoom(route, usage, load, open_, now);
    }

    /// The pools in which the latest findRoom() found room, and those that are not limited.
    const OpenPools &openPools() const
    {
        return open_;
    }

    /// Expected response time of a flow of the route that is forwarded now: the processing time and the wait for a slot as measured in the
    /// own zone, or in the zone where it is shortest if the own one has no slots.
    Duration expectedResponse(const FlowRoute &route, std::uint32_t usage, Time now) const;

    /// Mean time between two flows of this host that end in the pools of the route's services, if the shares are used up.
    Duration releaseInterval(const FlowRoute &route, std::uint32_t usage, Time now) const;

    /// Records that a flow of a limited route was sent to an upstream.
    void recordOpened(std::uint32_t route, bool afterWaiting, bool otherZone)
    {
        auto &counts = routes_.at(route).counts;
        ++(afterWaiting ? counts.afterWaiting : counts.atOnce);
        counts.otherZone += otherZone ? 1U : 0U;
    }

    /// Sets how many flows of a route wait.
    void changeWaiting(std::uint32_t route, int change)
    {
        routes_.at(route).waiting += static_cast<std::uint32_t>(change);
    }

    /// Whether new flows of the route are limited, now that its record was created.
    bool isLimited(std::uint32_t route) const
    {
        return route < routes_.size() && routes_[route].targetLatency != Duration{};
    }

    /// Records that a flow of the route waits or was refused.
    void recordWaiting(const FlowRoute &route, Time now);
    void recordRefused(const FlowRoute &route, std::uint32_t usage, Time now);

    /// The demand of this host's callers by service.
    std::vector<ServiceDemand> ownDemand(Time now) const;

    void setFleetDemand(std::vector<ZoneDemand> demands);

    void setZoneHosts(std::size_t hosts)
    {
        zoneHosts_ = std::max<std::size_t>(1, hosts);
    }

    /// The services that came into overload or left it since the last call.
    std::vector<OverloadChange> takeOverloadChanges();

    /// The pools of services with limited routes.
    std::vector<PoolView> views(Time now) const;

    /// This host's share of a pool for the route, in concurrent requests.
    double shareOf(const Pool &pool, const RouteLoad &route, Time now) const;

    const std::vector<Pool> &pools() const
    {
        return pools_;
    }

    RouteLoad &route(std::uint32_t usage)
    {
        return routes_.at(usage);
    }

    const std::vector<RouteLoad> &routes() const
    {
        return routes_;
    }

private:
    struct Service {
        std::vector<PoolIndex> pools;
        std::vector<std::uint32_t> routes; ///< limited routes to the service
        double demand = 0; ///< mean demand of this host's callers, in concurrent requests
        bool waitedNow = false; ///< a flow waited since the last refresh
        std::uint32_t waitedTicks = 0; ///< refreshes in a row before which a flow waited
        std::optional<Time> overloadedSince;
        Time lastWait; ///< when a flow last began to wait
        Time lastOverload; ///< when a flow last waited or was refused
    };

    void applyRoute(const RouteConfig &config, const FlowRoute &route, std::uint32_t usage);
    void updateDepths();
    PoolIndex poolOf(const UpstreamEntry &entry);
    void rebuildServices(UpstreamDirectory &directory);
    void endLimits(UpstreamDirectory &directory, Time now);
    bool usesOwnZone(const Service &service) const;
    bool isQuiet(const Pool &pool, Time now) const;
    bool openServicePools(const Service &service, const RouteLoad &route, double load, OpenPools &open, Time now) const;
    double equalOrToldShare(const Pool &pool, const Service &service, const RouteLoad &route, Time now) const;
    double spillingZones(const Service &service, const Pool &target) const;
    double demandOf(const Service &service) const;
    /// What is asked of a service now and at the mean.
    struct Asked {
        double now = 0;
        double mean = 0;
    };
    using DemandByPriority = std::map<std::uint32_t, Asked>;

    bool exceedsShares(const Service &service, const DemandByPriority &demands, const RouteLoad &route, Time now) const;
    double dither(PoolIndex pool, Time now) const;
    void addSample(const UpstreamRecord &upstream, double requestsPerSlot, Time now);
    void beginOverload(const std::string &name, Service &service, Time now);
    OverloadChange overloadChange(const std::string &name, const Service &service, bool began, Time now) const;
    void updateOverload(const std::string &name, Service &service, Time now);

    PoolLoadOptions options_;
    std::size_t zoneHosts_ = 1;
    bool hasLimitedUpstreams_ = false;
    std::vector<Pool> pools_;
    OpenPools open_; ///< see openPools()
    boost::unordered_flat_map<std::string, Service> services_;
    std::vector<RouteLoad> routes_; ///< by index of their usage record
    std::vector<ZoneDemand> told_;
    std::vector<OverloadChange> changes_;
};

} // namespace medlarway
