// The part of PoolLoads that reports: what callers ask for, and which services are overloaded.
#include "steering/pool_loads.h"

#include "base/hash.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace medlarway
{

namespace
{

// Part of its share beyond which a host tells its demand.
constexpr double kToldPart = 0.5;

// Refreshes in a row with waiting flows after which a service counts as overloaded: shorter waits are random peaks.
constexpr std::uint32_t kOverloadTicks = 5;

// Refreshes in a row before which flows waited until flows may be refused.
constexpr std::uint32_t kRefuseTicks = 1;

// Slots of a service below which no flow is refused: one upstream of two slots is a twentieth of the room there, so its failure or return
// changes the room by more than it is known. Suspected upstreams count until a connection to them fails, as full ones leave SYNs
// unanswered: without their slots an overloaded service would refuse nobody and stay full.
constexpr double kMinSlotsToRefuse = 40;

// A service leaves overload when for this long no flow waited or was refused.
constexpr Duration kOverloadEnd = std::chrono::seconds{3};

} // namespace

void PoolLoads::recordWaiting(const FlowRoute &route, Time now)
{
    if (!route.targets.empty()) {
        auto &service = services_[route.targets.front().service];
        service.waitedNow = true;
        service.lastWait = now;
        if (service.overloadedSince) {
            service.lastOverload = now;
        }
    }
}

bool PoolLoads::isShort(const FlowRoute &route) const
{
    const auto service = route.targets.empty() ? services_.end() : services_.find(route.targets.front().service);
    if (service == services_.end()) {
        return false;
    }
    const auto &pools = service->second.pools;
    const auto slots
        = std::accumulate(pools.begin(), pools.end(), 0.0, [this](double sum, auto pool) { return sum + pools_[pool].runningSlots; });
    return slots >= kMinSlotsToRefuse && (service->second.waitedTicks >= kRefuseTicks || service->second.overloadedSince);
}

bool PoolLoads::isToldFull(std::uint64_t service) const
{
    return std::any_of(pools_.begin(), pools_.end(), [service](const Pool &pool) {
        return pool.own && pool.told && pool.told->requests > pool.slots && hashBytes(pool.service) == service;
    });
}

void PoolLoads::recordRefused(const FlowRoute &route, std::uint32_t usage, Time now)
{
    auto &load = routes_.at(usage);
    ++load.counts.refused;
    if (!route.targets.empty()) {
        const auto &name = route.targets.front().service;
        auto &service = services_[name];
        load.refusedTime += inSeconds(load.processing());
        beginOverload(name, service, now);
    }
}

void PoolLoads::beginOverload(const std::string &name, Service &service, Time now)
{
    service.lastOverload = now;
    if (!service.overloadedSince) {
        service.overloadedSince = now;
        changes_.push_back(overloadChange(name, service, true, now));
    }
}

void PoolLoads::updateOverload(const std::string &name, Service &service, Time now)
{
    service.waitedTicks = service.waitedNow ? service.waitedTicks + 1 : 0;
    service.waitedNow = false;
    if (service.waitedTicks >= kOverloadTicks) {
        beginOverload(name, service, now);
    }
    if (service.overloadedSince && now - service.lastOverload > kOverloadEnd) {
        service.overloadedSince.reset();
        changes_.push_back(overloadChange(name, service, false, now));
    }
}

OverloadChange PoolLoads::overloadChange(const std::string &name, const Service &service, bool began, Time now) const
{
    OverloadChange change;
    change.service = name;
    change.began = began;
    change.demand = service.demand;
    for (const auto index : service.pools) {
        const auto &pool = pools_[index];
        if (pool.own) {
            change.ownSlots = pool.slots;
            change.ownLoad = pool.load;
            change.requestsPerSlot = measuredRequests(pool, now);
            change.toldDemand = pool.told ? std::optional(pool.told->requests) : std::nullopt;
            for (const auto route : service.routes) {
                const auto share = shareOf(pool, routes_[route], now);
                change.smallestShare = std::min(change.smallestShare.value_or(share), share);
            }
        }
    }
    return change;
}

std::vector<OverloadChange> PoolLoads::takeOverloadChanges()
{
    return std::exchange(changes_, {});
}

std::vector<PoolView> PoolLoads::views(Time now) const
{
    std::vector<PoolView> views;
    for (const auto &[name, service] : services_) {
        if (service.routes.empty()) {
            continue;
        }
        for (const auto index : service.pools) {
            PoolView view{index, 0, 0, 0, service.overloadedSince.has_value()};
            for (const auto route : service.routes) {
                view.limit = std::max(view.limit, pools_[index].slots * routes_[route].depth);
                view.share = std::max(view.share, shareOf(pools_[index], routes_[route], now));
                view.waiting += routes_[route].waiting;
            }
            views.push_back(view);
        }
    }
    return views;
}

std::vector<ServiceDemand> PoolLoads::ownDemand(Time now) const
{
    std::vector<ServiceDemand> demands;
    for (const auto &[name, service] : services_) {
        if (service.routes.empty() || service.pools.empty()) {
            continue;
        }
        ServiceDemand demand{name, service.demand, false};
        for (const auto index : service.pools) {
            const auto &pool = pools_[index];
            double share = 0;
            for (const auto route : service.routes) {
                share = std::max(share, equalOrToldShare(pool, service, routes_[route], now));
            }
            demand.nearLimit = demand.nearLimit || (pool.own && demand.requests > share * kToldPart);
        }
        demands.push_back(std::move(demand));
    }
    return demands;
}

double PoolLoads::demandOf(const Service &service) const
{
    double demand = 0;
    for (const auto pool : service.pools) {
        demand += pools_[pool].load;
    }
    for (const auto route : service.routes) {
        demand += routes_[route].waiting + routes_[route].refused;
    }
    return demand;
}

} // namespace medlarway
