#include "steering/placement_explanation.h"

#include <algorithm>
#include <limits>
#include <map>
#include <tuple>

namespace medlarway
{

namespace
{

std::vector<PlacementCandidate> candidatesOf(const UpstreamDirectory &directory, const std::string &service,
                                             const PlacementRequest &request, const PlacementWeights &weights, Time now)
{
    std::vector<PlacementCandidate> candidates;
    double highestThatWins = std::numeric_limits<double>::max();
    for (const auto index : directory.listedUpstreams(service)) {
        const auto &upstream = directory.at(index);
        auto &candidate = candidates.emplace_back();
        candidate.upstream = index;
        candidate.reason = passedOver(directory, index, request, now);
        candidate.cost = placementCost(upstream, request, weights, now);
        candidate.onTrial = candidate.reason == PassedOver::No && upstream.liveness.suspectedAt.has_value();
        if (candidate.reason == PassedOver::No) {
            highestThatWins = std::min(highestThatWins, candidate.cost.total() + tieNoise(upstream));
        }
    }
    for (auto &candidate : candidates) {
        candidate.mayBeChosen = candidate.reason == PassedOver::No && candidate.cost.total() < highestThatWins;
    }
    std::sort(candidates.begin(), candidates.end(), [](const auto &a, const auto &b) {
        return std::tuple(a.reason, a.cost.total(), a.upstream) < std::tuple(b.reason, b.cost.total(), b.upstream);
    });
    return candidates;
}

std::vector<PlacementZone> zonesOf(const UpstreamDirectory &directory, const std::vector<PlacementService> &services, Time now)
{
    std::map<std::string, PlacementZone> zones;
    for (const auto &upstream : directory.all()) {
        if (upstream.entry.id.empty()) {
            continue;
        }
        auto &zone = zones[upstream.entry.zone.name];
        const bool ofRoute = std::any_of(services.begin(), services.end(),
                                         [&upstream](const auto &service) { return service.service == upstream.entry.service; });
        zone.unlisted += ofRoute && upstream.presence != Presence::Listed ? 1 : 0;
    }
    for (const auto &service : services) {
        for (const auto &candidate : service.candidates) {
            const auto &upstream = directory.at(candidate.upstream);
            auto &zone = zones[upstream.entry.zone.name];
            ++zone.upstreams;
            zone.onTrial += candidate.onTrial ? 1 : 0;
            if (upstream.isLimited(now)) {
                ++zone.warmingUp;
                zone.warmingUpHere += now < upstream.warmUp.usableUntil ? 1 : 0;
                zone.warmUpLeft = std::max(zone.warmUpLeft, upstream.warmUntil - now);
            }
            ++zone.byReason.at(static_cast<std::size_t>(candidate.reason));
            if (candidate.reason == PassedOver::No) {
                zone.lowestCost = std::min(zone.lowestCost.value_or(std::numeric_limits<double>::max()), candidate.cost.total());
            }
        }
    }
    for (const auto &evacuation : directory.evacuations().active()) {
        zones[evacuation.zone.name].evacuatedFor = now - directory.evacuations().find(evacuation.zone.name)->since;
    }
    std::vector<PlacementZone> result;
    for (auto &[name, zone] : zones) {
        zone.zone.name = name;
        result.push_back(zone);
    }
    return result;
}

} // namespace

void FlowSteering::explainRoom(PlacementExplanation &result, const OpenPools &open, std::uint32_t usage, Time now) const
{
    const auto &load = pools_.routes().at(usage);
    for (PoolIndex index = 0; index < pools_.pools().size(); ++index) {
        const auto &pool = pools_.pools()[index];
        const bool ofRoute = std::any_of(result.services.begin(), result.services.end(),
                                         [&pool](const auto &service) { return service.service == pool.service; });
        if (!ofRoute || pool.upstreams == 0) {
            continue;
        }
        auto &shown = result.pools.emplace_back();
        shown.service = pool.service;
        shown.zone = pool.zone;
        shown.slots = pool.slots;
        shown.limit = pool.slots * load.depth;
        shown.share = pools_.shareOf(pool, load, now);
        shown.load = pool.load;
        shown.hasRoom = open.contains(index);
        shown.isKept = !shown.hasRoom && shown.load + kNewFlowLoad <= shown.share;
        if (pool.told) {
            shown.told = pool.told->requests;
            shown.toldAge = now - pool.told->toldAt;
        }
    }
    std::sort(result.pools.begin(), result.pools.end(),
              [](const auto &a, const auto &b) { return std::tie(a.service, a.zone.name) < std::tie(b.service, b.zone.name); });
}

PlacementExplanation FlowSteering::explainPlacement(const Endpoint &destination, Time now) const
{
    PlacementExplanation result;
    result.fresh = now <= freshUntil_;
    const auto *route = routes_.find(destination);
    const bool ready = isReady();
    if (!ready || route == nullptr) {
        result.decision = ready ? withoutRoute(now) : SteeringDecision{};
        return result;
    }
    result.route = *route;
    result.busyShare = usages_.busyShareOf(destination);
    // Step 1. Whether the shares of the pools have room, as placeWithinShares() decides.
    const auto usage = usages_.find(destination);
    OpenPools open;
    result.limited = usage && isLimited(*usage, now);
    const bool hasRoom = !result.limited || pools_.findRoom(*route, *usage, kNewFlowLoad, open, now);
    auto request = requestFor(*route, result.busyShare, kNoUpstream);
    request.open = &open;
    request.limitedOnly = !hasRoom;
    if (!hasRoom && (!pools_.hasLimitedUpstreams() || expectedPlacement(directory_, request, options_.weights, 0, now) == kNoUpstream)) {
        result.wait = explainWait(*route, *usage, now);
    }
    if (!result.wait && expectedPlacement(directory_, request, options_.weights, 0, now) == kNoUpstream) {
        request.open = nullptr; // the upstreams have changed since the shares were computed
    }
    // Step 2. The candidates and the choice.
    std::uint32_t highestWeight = 0;
    for (std::size_t row = 0; row < route->targets.size(); ++row) {
        auto &service = result.services.emplace_back();
        service.service = route->targets[row].service;
        service.weight = route->targets[row].weight;
        service.choice = result.wait ? kNoUpstream : expectedPlacement(directory_, request, options_.weights, row, now);
        service.candidates = candidatesOf(directory_, service.service, request, options_.weights, now);
        if (service.weight > highestWeight) {
            highestWeight = service.weight;
            result.decision.upstream = service.choice;
        }
    }
    if (result.wait) {
        result.decision = result.wait->refused ? SteeringDecision{SteeringAction::Reset, SteeringReason::NoRoom, kNoUpstream}
                                               : SteeringDecision{SteeringAction::Hold, SteeringReason::Waiting, kNoUpstream};
    } else if (result.decision.upstream == kNoUpstream) {
        result.decision = withoutUpstream(request, now);
    } else {
        result.decision = {SteeringAction::Forward, SteeringReason::Opened, result.decision.upstream};
    }
    result.zones = zonesOf(directory_, result.services, now);
    if (usage && pools_.isLimited(*usage)) {
        for (std::uint8_t earlierSyns = 0; earlierSyns < kMaxSyns; ++earlierSyns) {
            const auto times = timesOf(*route, *usage, earlierSyns, now);
            result.timesLeft.push_back({times, outlookOf(times), longestWait(times)});
        }
        explainRoom(result, open, *usage, now);
    }
    return result;
}

} // namespace medlarway
