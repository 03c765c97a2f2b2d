#include "steering/flow_placement.h"

#include "steering/liveness.h"

#include <algorithm>
#include <array>
#include <limits>
#include <span>

namespace medlarway
{

namespace
{

// Random cost that breaks ties; far below any relevant difference in load. Multiplied by the slowness, as a host of a large fleet has no
// flows on most upstreams: among many of equal cost, each is then drawn in proportion to its speed.
constexpr double kTieNoise = 0.01;

// Draws a target of the route at random, in proportion to the weights.
std::size_t drawTarget(const FlowRoute &route, Random &random)
{
    std::uint64_t total = 0;
    for (const auto &target : route.targets) {
        total += target.weight;
    }
    auto draw = random.below(total);
    for (std::size_t row = 0; row < route.targets.size(); ++row) {
        if (draw < route.targets[row].weight) {
            return row;
        }
        draw -= route.targets[row].weight;
    }
    return 0;
}

// Indexed by PassedOver.
constexpr std::array<std::string_view, static_cast<std::size_t>(PassedOver::Count)> kPassedOverNames{
    "no", "excluded", "draining", "evacuated", "warming-up", "suspected", "full",
};

UpstreamIndex cheapest(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates, const PlacementRequest &request,
                       const PlacementWeights &weights, Random *random, Time now)
{
    auto best = kNoUpstream;
    double lowest = std::numeric_limits<double>::max();
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        const auto reason = passedOver(directory, index, request, now);
        if (reason != PassedOver::No) {
            if (request.counts != nullptr) {
                ++request.counts->at(static_cast<std::size_t>(reason));
            }
            continue;
        }
        // A trial in this host's zone ignores the cost, which is inflated by the unanswered requests that raised the suspicion.
        if (upstream.liveness.suspectedAt && upstream.entry.zone == *request.zone) {
            return index;
        }
        const double cost
            = placementCost(upstream, request, weights, now).total() + (random != nullptr ? tieNoise(upstream) * random->unit() : 0);
        if (cost < lowest) {
            lowest = cost;
            best = index;
        }
    }
    return best;
}

// Used when every upstream is suspected: that this host sees too few packets is more likely than that all upstreams are down.
UpstreamIndex leastRecentlyTried(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates,
                                 const PlacementRequest &request, Time now)
{
    auto best = kNoUpstream;
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        const auto reason = passedOver(directory, index, request, now);
        if (reason != PassedOver::No && reason != PassedOver::Suspected) {
            continue;
        }
        if (best == kNoUpstream || upstream.liveness.lastTrial < directory.at(best).liveness.lastTrial) {
            best = index;
        }
    }
    return best;
}

// Without a generator, no random cost is added.
UpstreamIndex placeFrom(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                        std::size_t first, Random *random, Time now)
{
    const auto &targets = request.route->targets;
    // Step 1. Try the service drawn by weight first, then the route's other services, so that one without upstreams refuses no flow.
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const auto candidates = directory.listedUpstreams(targets[(first + step) % targets.size()].service);
        const auto found = cheapest(directory, candidates, request, weights, random, now);
        if (found != kNoUpstream) {
            return found;
        }
    }
    // With shares the caller tries again without them: an upstream that answers is better than a suspected one, whatever its zone.
    if (request.open != nullptr) {
        return kNoUpstream;
    }
    // Step 2. Fall back to suspected upstreams, likewise of all services, as those of the first may be evacuated.
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const auto candidates = directory.listedUpstreams(targets[(first + step) % targets.size()].service);
        const auto found = leastRecentlyTried(directory, candidates, request, now);
        if (found != kNoUpstream) {
            return found;
        }
    }
    return kNoUpstream;
}

} // namespace

double tieNoise(const UpstreamRecord &upstream)
{
    return kTieNoise * upstream.slowness;
}

std::string_view passedOverName(PassedOver reason)
{
    return kPassedOverNames.at(static_cast<std::size_t>(reason));
}

PassedOver passedOver(const UpstreamDirectory &directory, UpstreamIndex index, const PlacementRequest &request, Time now)
{
    const auto &upstream = directory.at(index);
    if (upstream.evacuated) {
        return PassedOver::Evacuated;
    }
    if (index == request.excluded) {
        return PassedOver::Excluded;
    }
    if (upstream.entry.draining) {
        return PassedOver::Draining;
    }
    // Before the suspicion, which is no obstacle where every other upstream is suspected too.
    if (!upstream.takesSyn(now)) {
        return PassedOver::WarmingUp;
    }
    if (upstream.liveness.suspectedAt && !isTrialDue(upstream.liveness, now)) {
        return PassedOver::Suspected;
    }
    if (request.limitedOnly && !upstream.isLimited(now)) {
        return PassedOver::Full;
    }
    // A trial is a single flow and needs no room. The limit of an upstream that warms up takes the place of the share: its slots are not
    // counted in the pool.
    const bool needsRoom = !upstream.liveness.suspectedAt && !upstream.isLimited(now);
    if (request.open != nullptr && needsRoom && !request.open->contains(upstream.pool)) {
        return PassedOver::Full;
    }
    return PassedOver::No;
}

// The queueing cost counts fully for a flow with a single request, whose busyShare is near 1. A long-lived flow is placed mainly by the
// expected load of the open flows. A slow upstream counts as having fewer slots, so that an idle one costs a single request as much as
// waiting would elsewhere.
PlacementCost placementCost(const UpstreamRecord &upstream, const PlacementRequest &request, const PlacementWeights &weights, Time now)
{
    const double slots = std::max<std::uint32_t>(1, upstream.entry.slots) / upstream.slowness;
    const double running = upstream.running;
    PlacementCost cost;
    cost.load = upstream.expectedLoad / slots;
    cost.running = weights.running * running / slots;
    cost.waiting = request.busyShare * weights.waiting * std::max(0.0, running + 1 - slots) / slots;
    cost.otherZone = upstream.entry.zone == *request.zone ? 0 : weights.otherZone;
    cost.slowness = upstream.slowness;
    cost.warmUp = now < upstream.warmUntil ? weights.warmUp : 0;
    return cost;
}

UpstreamIndex placeFlow(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                        Random &random, Time now)
{
    if (request.route->targets.empty()) {
        return kNoUpstream;
    }
    return placeFrom(directory, request, weights, drawTarget(*request.route, random), &random, now);
}

UpstreamIndex expectedPlacement(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                                std::size_t target, Time now)
{
    return placeFrom(directory, request, weights, target, nullptr, now);
}

bool isHeldBackByWarmUp(const UpstreamDirectory &directory, const PlacementRequest &request, Time now)
{
    return std::any_of(request.route->targets.begin(), request.route->targets.end(), [&](const RouteTarget &target) {
        const auto candidates = directory.listedUpstreams(target.service);
        return std::any_of(candidates.begin(), candidates.end(),
                           [&](UpstreamIndex index) { return passedOver(directory, index, request, now) == PassedOver::WarmingUp; });
    });
}

} // namespace medlarway
