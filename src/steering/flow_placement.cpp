#include "steering/flow_placement.h"

#include "steering/liveness.h"

#include <algorithm>
#include <limits>

namespace medlarway
{

namespace
{

// Random cost that breaks ties; far below any relevant difference in load.
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

// A suspected upstream gets a flow only when a trial is due. In this host's zone it then gets the flow regardless of its cost, which is
// inflated by the unanswered requests that raised the suspicion.
enum class Eligibility : std::uint8_t {
    Excluded,
    ByCost, ///< competes by cost
    Trial, ///< chosen regardless of cost
};

Eligibility eligibility(const UpstreamRecord &upstream, const PlacementRequest &request, Time now)
{
    if (upstream.entry.draining) {
        return Eligibility::Excluded;
    }
    if (!upstream.liveness.suspectedAt) {
        return Eligibility::ByCost;
    }
    if (!isTrialDue(upstream.liveness, now)) {
        return Eligibility::Excluded;
    }
    return upstream.entry.zone == *request.zone ? Eligibility::Trial : Eligibility::ByCost;
}

UpstreamIndex cheapest(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates, const PlacementRequest &request,
                       const PlacementWeights &weights, Random &random, Time now)
{
    auto best = kNoUpstream;
    double lowest = std::numeric_limits<double>::max();
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        const auto fit = eligibility(upstream, request, now);
        if (index == request.excluded || fit == Eligibility::Excluded) {
            continue;
        }
        if (fit == Eligibility::Trial) {
            return index;
        }
        const double cost = placementCost(upstream, request, weights, now) + kTieNoise * random.unit();
        if (cost < lowest) {
            lowest = cost;
            best = index;
        }
    }
    return best;
}

// Used when every upstream is suspected: that this host sees too few packets is more likely than that all upstreams are down.
UpstreamIndex leastRecentlyTried(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates, UpstreamIndex excluded)
{
    auto best = kNoUpstream;
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        if (index == excluded || upstream.entry.draining) {
            continue;
        }
        if (best == kNoUpstream || upstream.liveness.lastTrial < directory.at(best).liveness.lastTrial) {
            best = index;
        }
    }
    return best;
}

} // namespace

// The queueing cost counts fully for a flow with a single request, whose busyShare is near 1. A long-lived flow is placed mainly by the
// expected load of the open flows.
double placementCost(const UpstreamRecord &upstream, const PlacementRequest &request, const PlacementWeights &weights, Time now)
{
    const double slots = std::max<std::uint32_t>(1, upstream.entry.slots);
    const double running = upstream.running;
    double cost = upstream.expectedLoad / slots + weights.running * running / slots;
    cost += request.busyShare * weights.waiting * std::max(0.0, running + 1 - slots) / slots;
    if (upstream.entry.zone != *request.zone) {
        cost += weights.otherZone;
    }
    if (now < upstream.warmUntil) {
        cost += weights.warmUp;
    }
    return cost;
}

UpstreamIndex placeFlow(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                        Random &random, Time now)
{
    const auto &targets = request.route->targets;
    if (targets.empty()) {
        return kNoUpstream;
    }
    // Step 1. Try the service drawn by weight first, then the route's other services, so that one without upstreams refuses no flow.
    const auto first = drawTarget(*request.route, random);
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const auto candidates = directory.listedUpstreams(targets[(first + step) % targets.size()].service);
        const auto found = cheapest(directory, candidates, request, weights, random, now);
        if (found != kNoUpstream) {
            return found;
        }
    }
    // Step 2. Fall back to suspected upstreams.
    return leastRecentlyTried(directory, directory.listedUpstreams(targets[first].service), request.excluded);
}

} // namespace medlarway
