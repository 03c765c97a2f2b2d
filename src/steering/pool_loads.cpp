#include "steering/pool_loads.h"

#include "base/hash.h"
#include "load/flow_urgency.h"

#include <cmath>
#include <utility>

namespace medlarway
{

namespace
{

// Number of responses that the initial estimate of a processing time counts as.
constexpr std::uint32_t kInitialEstimateSamples = 4;

// Responses over which a processing time is averaged: many, as a single one varies by its own size.
constexpr std::uint32_t kProcessingSamples = 64;

// Responses after which the initial estimate weighs a ninth in the processing time.
constexpr std::uint32_t kLearnedSamples = 32;

// Load besides the request itself, per slot of this host's part of the pool, and measured requests per slot, up to which a response is
// taken to have found a free slot. Half of the limit would be too much: at 0.9 of the capacity the simulation learned 54 ms for 40 ms.
constexpr double kQuietLoad = 0.4;
constexpr double kQuietRequestsPerSlot = 1.5;

// Time without waiting flows before processing times are learned: a host with a share of one request has no other sign of a full pool.
constexpr Duration kQuietAfterWait = std::chrono::seconds{1};

// Weight of a response in the requests per slot, and the time over which many responses are averaged.
constexpr double kResponseWeight = 0.1;
constexpr double kResponseSeconds = 0.15;

// Upper bound of a single measurement, so that one slow request does not dominate the average.
constexpr double kMaxRequestsPerSlot = 10;

// Without responses the distance of the requests per slot to 1 halves in this time, so that a pool that was avoided is tried again.
constexpr double kMeasurementHalfLifeSeconds = 0.5;

// The random part of a share's rounding changes at this interval, about the response time under overload.
constexpr Duration kDitherInterval = std::chrono::milliseconds{100};

// Weight of the latest refresh in the demand; covers about half a second.
constexpr double kDemandWeight = 0.3;

// Standard deviations of a host's mean and present load that count as a random peak, for independent requests. The present load has fewer,
// as it tells sooner that an overload has begun. Figures: docs/design/evacuation-and-load.md.
constexpr double kPeakDeviationsOfMean = 2;
constexpr double kPeakDeviations = 1;

// Interval of refresh().
constexpr double kRefreshSeconds = 0.2;

// Pools without upstreams that are kept beyond the number of those with upstreams.
constexpr std::size_t kMaxEmptyPools = 64;

bool isMeantForFlows(const UpstreamRecord &upstream, Time now)
{
    return !upstream.entry.draining && !upstream.evacuated && !upstream.isLimited(now);
}

Duration scaled(Duration duration, double factor)
{
    return Duration{static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor)};
}

} // namespace

double measuredRequests(const Pool &pool, Time now)
{
    const auto age = inSeconds(now - pool.sampledAt);
    return 1 + (pool.requestsPerSlot - 1) * std::exp2(-std::max(0.0, age) / kMeasurementHalfLifeSeconds);
}

Duration RouteLoad::processing() const
{
    return samples == 0 ? initialProcessingTime(targetLatency) : Duration{static_cast<Duration::rep>(processingNs)};
}

double RouteLoad::ownDepth() const
{
    return poolDepth(targetLatency, processing(), higherPriorities);
}

PoolLoads::PoolLoads(PoolLoadOptions options)
    : options_(std::move(options))
{
}

void PoolLoads::applyRoute(const RouteConfig &config, const FlowRoute &route, std::uint32_t usage)
{
    if (routes_.size() <= usage) {
        routes_.resize(usage + 1);
    }
    auto &load = routes_[usage];
    load.name = route.name;
    load.targetLatency = boundedTargetLatency(route.targetLatency, route.deadline);
    load.deadline = route.deadline;
    load.priority = route.priority;
    load.service = route.targets.empty() ? 0 : hashBytes(route.targets.front().service);
    if (route.targetLatency == Duration{} || route.targets.empty()) {
        return;
    }
    const auto sharesService = [&route](const FlowRoute &other) {
        return std::any_of(other.targets.begin(), other.targets.end(), [&route](const RouteTarget &target) {
            return std::any_of(route.targets.begin(), route.targets.end(),
                               [&target](const RouteTarget &own) { return own.service == target.service; });
        });
    };
    std::vector<std::uint32_t> higher;
    for (const auto &other : config.routes) {
        if (other.priority < route.priority && sharesService(other)) {
            higher.push_back(other.priority);
        }
    }
    std::sort(higher.begin(), higher.end());
    load.higherPriorities = static_cast<std::uint32_t>(std::unique(higher.begin(), higher.end()) - higher.begin());
    for (const auto &target : route.targets) {
        auto &routes = services_[target.service].routes;
        if (std::find(routes.begin(), routes.end(), usage) == routes.end()) {
            routes.push_back(usage);
        }
    }
}

// The requests of a priority share the queues of the upstreams, which must be short enough for each of them. With a depth for each route
// the one with the larger depth took all the room in overload, although the difference was only that of two learned processing times.
void PoolLoads::updateDepths()
{
    for (auto &route : routes_) {
        route.depth = route.ownDepth();
    }
    for (const auto &[name, service] : services_) {
        std::map<std::uint32_t, double> depths; // by priority: a service may have more than a thousand routes
        for (const auto usage : service.routes) {
            const auto &route = routes_[usage];
            const auto [depth, isNew] = depths.try_emplace(route.priority, route.depth);
            depth->second = std::min(depth->second, route.depth);
        }
        for (const auto usage : service.routes) {
            routes_[usage].depth = depths.at(routes_[usage].priority);
        }
    }
}

PoolIndex PoolLoads::poolOf(const UpstreamEntry &entry)
{
    auto &service = services_[entry.service];
    for (const auto index : service.pools) {
        if (pools_[index].zone == entry.zone) {
            return index;
        }
    }
    const auto index = static_cast<PoolIndex>(pools_.size());
    Pool pool;
    pool.service = entry.service;
    pool.zone = entry.zone;
    pool.own = entry.zone == options_.zone;
    pools_.push_back(std::move(pool));
    service.pools.push_back(index);
    return index;
}

// Zones and services of upstreams that are gone must not accumulate.
void PoolLoads::rebuildServices(UpstreamDirectory &directory)
{
    for (UpstreamIndex index = 0; index < directory.all().size(); ++index) {
        directory.at(index).pool = kNoPool;
    }
    pools_.clear();
    boost::unordered::erase_if(services_, [](const auto &item) { return item.second.routes.empty(); });
    for (auto &[name, service] : services_) {
        service.pools.clear();
    }
}

// Slots and loads are not updated without limits, so they must not count when limits return.
void PoolLoads::endLimits(UpstreamDirectory &directory, Time now)
{
    for (const auto &[name, service] : services_) {
        if (service.overloadedSince) {
            changes_.push_back(overloadChange(name, service, false, now));
        }
    }
    if (!services_.empty()) {
        rebuildServices(directory);
    }
}

void PoolLoads::refresh(UpstreamDirectory &directory, Time now)
{
    if (std::none_of(routes_.begin(), routes_.end(), [](const RouteLoad &route) { return route.targetLatency != Duration{}; })) {
        endLimits(directory, now);
        return;
    }
    // Step 1. Loads and slots from the records.
    const auto empty
        = static_cast<std::size_t>(std::count_if(pools_.begin(), pools_.end(), [](const Pool &pool) { return pool.upstreams == 0; }));
    if (empty > kMaxEmptyPools + pools_.size() / 2) {
        rebuildServices(directory);
    }
    for (auto &pool : pools_) {
        pool.slots = 0;
        pool.runningSlots = 0;
        pool.load = 0;
        pool.upstreams = 0;
    }
    hasLimitedUpstreams_ = false;
    for (UpstreamIndex index = 0; index < directory.all().size(); ++index) {
        auto &upstream = directory.at(index);
        if (upstream.entry.id.empty()) {
            upstream.pool = kNoPool;
            continue;
        }
        if (upstream.pool == kNoPool) {
            upstream.pool = poolOf(upstream.entry);
        }
        auto &pool = pools_[upstream.pool];
        const bool listed = upstream.presence == Presence::Listed;
        pool.upstreams += listed ? 1 : 0;
        hasLimitedUpstreams_ = hasLimitedUpstreams_ || (listed && upstream.isLimited(now));
        // The flows of an upstream that takes no more occupy none of the pool's slots.
        const bool isMeant = listed && isMeantForFlows(upstream, now);
        pool.runningSlots += isMeant && !upstream.liveness.unreachableAt ? upstream.entry.slots : 0;
        upstream.countsInPool = isMeant && !upstream.liveness.suspectedAt;
        if (upstream.countsInPool) {
            pool.load += upstream.expectedLoad;
            pool.slots += upstream.entry.slots;
        }
    }
    open_.setAll(pools_.size(), true);
    // Step 2. What was told, if it is recent.
    std::erase_if(told_, [now](const ZoneDemand &told) { return now - told.toldAt > kDemandLifetime; });
    for (auto &pool : pools_) {
        const auto told = std::find_if(told_.begin(), told_.end(), [&pool](const ZoneDemand &demand) {
            return demand.zone == pool.zone && demand.service == pool.service;
        });
        pool.told = told == told_.end() ? std::nullopt : std::optional(*told);
    }
    // Step 3. Refused flows and overload.
    updateDepths();
    for (auto &load : routes_) {
        load.refused += kDemandWeight * (load.refusedTime / kRefreshSeconds - load.refused);
        load.refusedTime = 0;
        load.demand += kDemandWeight * (load.load + load.waiting + load.refused - load.demand);
        load.exceedsShares = false;
    }
    for (auto &[name, service] : services_) {
        service.demand += kDemandWeight * (demandOf(service) - service.demand);
        DemandByPriority demands;
        for (const auto route : service.routes) {
            auto &asked = demands[routes_[route].priority];
            asked.now += routes_[route].load + routes_[route].waiting + routes_[route].refused;
            asked.mean += routes_[route].demand;
        }
        for (const auto route : service.routes) {
            routes_[route].exceedsShares = routes_[route].exceedsShares || exceedsShares(service, demands, routes_[route], now);
        }
        updateOverload(name, service, now);
    }
}

void PoolLoads::setFleetDemand(std::vector<ZoneDemand> demands)
{
    told_ = std::move(demands);
}

void PoolLoads::recordResponse(const UpstreamRecord &upstream, std::uint32_t route, Duration response, Time now)
{
    if (!isLimited(route) || upstream.pool >= pools_.size()) {
        return;
    }
    auto &load = routes_[route];
    const auto &pool = pools_[upstream.pool];
    if (isQuiet(pool, now)) {
        const auto prior = static_cast<double>(load.processing().count());
        load.samples = std::min(load.samples + 1, kProcessingSamples);
        load.processingNs = prior + (static_cast<double>(response.count()) - prior) / (load.samples + kInitialEstimateSamples);
    }
    // Nothing is taken as free in another zone where responses seem long. With the initial estimate they may always seem so, and waiting
    // flows would keep it from being corrected.
    if (pool.own || load.samples >= kLearnedSamples || usesOwnZone(services_.at(pool.service))) {
        addSample(upstream, static_cast<double>(response.count()) / std::max(1.0, static_cast<double>(load.processing().count())), now);
    }
}

bool PoolLoads::usesOwnZone(const Service &service) const
{
    return std::any_of(service.pools.begin(), service.pools.end(),
                       [this](PoolIndex index) { return pools_[index].own && pools_[index].slots > 0; });
}

// Only responses of the own zone lack the way between zones. Without an upstream there that takes flows, those of others are used.
bool PoolLoads::isQuiet(const Pool &pool, Time now) const
{
    if (pool.load - 1 > kQuietLoad * pool.slots / static_cast<double>(zoneHosts_) || measuredRequests(pool, now) >= kQuietRequestsPerSlot) {
        return false;
    }
    const auto &service = services_.at(pool.service);
    return pool.own == usesOwnZone(service) && now - service.lastWait > kQuietAfterWait;
}

void PoolLoads::recordLoss(const UpstreamRecord &upstream, std::uint32_t route, Time now)
{
    if (isLimited(route) && upstream.pool < pools_.size()) {
        addSample(upstream, 2 * routes_[route].depth, now);
    }
}

void PoolLoads::addSample(const UpstreamRecord &upstream, double requestsPerSlot, Time now)
{
    auto &pool = pools_[upstream.pool];
    const auto before = measuredRequests(pool, now);
    const auto weight = std::min(kResponseWeight, inSeconds(now - pool.sampledAt) / kResponseSeconds);
    pool.requestsPerSlot = before + weight * (std::min(requestsPerSlot, kMaxRequestsPerSlot) - before);
    pool.sampledAt = now;
}

// The load of a host varies at random, in a large fleet by as much as its share. So only a demand above the shares by more than such peaks
// is a shortage: its mean, or at once a demand that is far above.
bool PoolLoads::exceedsShares(const Service &service, const DemandByPriority &demands, const RouteLoad &route, Time now) const
{
    double demand = 0;
    double mean = 0;
    for (const auto &[priority, asked] : demands) {
        if (priority <= route.priority) {
            demand += asked.now;
            mean += asked.mean;
        }
    }
    double share = 0;
    for (const auto pool : service.pools) {
        share += equalOrToldShare(pools_[pool], service, route, now);
    }
    const auto deviation = std::sqrt(share);
    const auto deviationOfMean = deviation * std::sqrt(kDemandWeight / (2 - kDemandWeight));
    return mean > share + kPeakDeviationsOfMean * deviationOfMean || demand > share + kPeakDeviations * deviation;
}

// Zones whose slots are all asked for. Without any report every other zone may be spilling.
double PoolLoads::spillingZones(const Service &service, const Pool &target) const
{
    std::size_t overloaded = 0;
    bool told = false;
    for (const auto index : service.pools) {
        const auto &pool = pools_[index];
        told = told || pool.told;
        overloaded += &pool != &target && pool.told && pool.told->requests > pool.slots ? 1U : 0U;
    }
    return static_cast<double>(told ? overloaded : service.pools.size() - 1);
}

double PoolLoads::equalOrToldShare(const Pool &pool, const Service &service, const RouteLoad &route, Time now) const
{
    const auto depth = route.depth;
    const auto limit = pool.slots * depth;
    const auto told = pool.told ? std::optional(pool.told->requests) : std::nullopt;
    const auto hosts = static_cast<double>(zoneHosts_);
    if (pool.own) {
        return ownZoneShare({limit, hosts, service.demand, told, pool.told ? static_cast<double>(pool.told->hosts) : 0.0});
    }
    return otherZoneShare({limit, depth, hosts, spillingZones(service, pool), told, measuredRequests(pool, now)});
}

double PoolLoads::shareOf(const Pool &pool, const RouteLoad &route, Time now) const
{
    const auto share = equalOrToldShare(pool, services_.at(pool.service), route, now);
    return pool.own ? correctedShare(share, route.depth, measuredRequests(pool, now)) : share;
}

// A share is seldom a whole number of requests. A number that changes at random rounds it so that its mean is right.
double PoolLoads::dither(PoolIndex pool, Time now) const
{
    constexpr double kUnit = 0x1p-53;
    constexpr unsigned kUnusedBits = 11;
    const auto interval = static_cast<std::uint64_t>(now.time_since_epoch() / kDitherInterval);
    return static_cast<double>(combineHash(options_.seed + pool, interval) >> kUnusedBits) * kUnit;
}

bool PoolLoads::findRoom(const FlowRoute &route, std::uint32_t usage, double load, OpenPools &open, Time now) const
{
    open.setAll(pools_.size(), true);
    if (!isLimited(usage)) {
        return true;
    }
    bool found = false;
    for (const auto &target : route.targets) {
        const auto service = services_.find(target.service);
        const bool isKnown = service != services_.end() && !service->second.pools.empty();
        found = !isKnown || openServicePools(service->second, routes_[usage], load, open, now) || found;
    }
    return found;
}

bool PoolLoads::openServicePools(const Service &service, const RouteLoad &route, double load, OpenPools &open, Time now) const
{
    const auto depth = route.depth;
    double slots = 0;
    auto own = kNoPool;
    auto best = kNoPool;
    double mostLeft = 0;
    // Step 1. Other zones with room.
    for (const auto index : service.pools) {
        const auto &pool = pools_[index];
        slots += pool.slots;
        open.set(index, false);
        if (pool.own) {
            own = index;
            continue;
        }
        const auto left = equalOrToldShare(pool, service, route, now) - pool.load;
        if (left > 0 && left >= dither(index, now) * load) {
            open.set(index, true);
            best = best == kNoPool || left > mostLeft ? index : best;
            mostLeft = std::max(mostLeft, left);
        }
    }
    // Without an upstream known to take flows there is no share; placement decides what to try.
    if (slots <= 0) {
        for (const auto index : service.pools) {
            open.set(index, true);
        }
        return true;
    }
    if (own == kNoPool) {
        return best != kNoPool;
    }
    // Step 2. The own zone while requests hardly wait there, then the zone with most room, then the own zone up to the full share.
    const auto &pool = pools_[own];
    const auto needed = pool.load + dither(own, now) * load;
    const auto requests = measuredRequests(pool, now);
    const auto share = equalOrToldShare(pool, service, route, now);
    const auto spillDepth = std::min(depth, kSpillDepth);
    if (share > 0 && needed <= correctedShare(share * spillDepth / depth, spillDepth, requests)) {
        open.set(own, true);
        return true;
    }
    if (best != kNoPool) {
        for (const auto index : service.pools) {
            open.set(index, index == best);
        }
        return true;
    }
    open.set(own, share > 0 && needed <= correctedShare(share, depth, requests));
    return open.contains(own);
}

Duration PoolLoads::expectedResponse(const FlowRoute &route, std::uint32_t usage, Time now) const
{
    const auto processing = routes_.at(usage).processing();
    std::optional<double> shortest;
    for (const auto &target : route.targets) {
        const auto service = services_.find(target.service);
        if (service == services_.end()) {
            continue;
        }
        for (const auto index : service->second.pools) {
            const auto &pool = pools_[index];
            const auto requests = measuredRequests(pool, now);
            if (pool.own && pool.slots > 0) {
                return scaled(processing, requests);
            }
            if (pool.slots > 0) {
                shortest = std::min(shortest.value_or(requests), requests);
            }
        }
    }
    return scaled(processing, shortest.value_or(1));
}

Duration PoolLoads::releaseInterval(const FlowRoute &route, std::uint32_t usage, Time now) const
{
    const auto &load = routes_.at(usage);
    const auto processing = std::max(1e-6, inSeconds(load.processing()));
    double perSecond = 0;
    for (const auto &target : route.targets) {
        const auto service = services_.find(target.service);
        if (service == services_.end()) {
            continue;
        }
        for (const auto index : service->second.pools) {
            const auto &pool = pools_[index];
            perSecond += std::max(pool.load, shareOf(pool, load, now)) / (processing * measuredRequests(pool, now));
        }
    }
    constexpr double kSlowestPerSecond = 0.1;
    return Duration{static_cast<Duration::rep>(1e9 / std::max(kSlowestPerSecond, perSecond))};
}

} // namespace medlarway
