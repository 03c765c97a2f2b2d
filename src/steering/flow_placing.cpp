#include "steering/flow_placing.h"

#include "steering/life_signs.h"

#include <algorithm>
#include <limits>

namespace medlarway
{

namespace
{

// Breaks ties; far below any difference in load that matters.
constexpr double kTieNoise = 0.01;

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

// Suspected ones only when they are due for a trial. One of the own zone is then tried whatever it seems to run: what
// waits there is the very reason for the suspicion.
enum class Fitness : std::uint8_t {
    Unfit,
    ByCost,
    Trial,
};

Fitness fitness(const KnownUpstream &upstream, const PlacingRequest &request, Time now)
{
    if (upstream.entry.draining) {
        return Fitness::Unfit;
    }
    if (!upstream.life.suspectedAt) {
        return Fitness::ByCost;
    }
    if (!dueForTrial(upstream.life, now)) {
        return Fitness::Unfit;
    }
    return upstream.entry.zone == *request.zone ? Fitness::Trial : Fitness::ByCost;
}

UpstreamIndex cheapest(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates, const PlacingRequest &request,
                       const PlacingWeights &weights, Random &random, Time now)
{
    auto best = kNoUpstream;
    double lowest = std::numeric_limits<double>::max();
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        const auto fit = fitness(upstream, request, now);
        if (index == request.avoid || fit == Fitness::Unfit) {
            continue;
        }
        if (fit == Fitness::Trial) {
            return index;
        }
        const double cost = placingCost(upstream, request, weights, now) + kTieNoise * random.unit();
        if (cost < lowest) {
            lowest = cost;
            best = index;
        }
    }
    return best;
}

// Every upstream is suspected: more likely this host sees too little than that all of them have ended.
UpstreamIndex leastSuspect(const UpstreamDirectory &directory, std::span<const UpstreamIndex> candidates, UpstreamIndex avoid)
{
    auto best = kNoUpstream;
    for (const auto index : candidates) {
        const auto &upstream = directory.at(index);
        if (index == avoid || upstream.entry.draining) {
            continue;
        }
        if (best == kNoUpstream || upstream.life.lastTrial < directory.at(best).life.lastTrial) {
            best = index;
        }
    }
    return best;
}

} // namespace

// A flow for one request goes by what runs now; a long one by what the flows that are there will run on average.
double placingCost(const KnownUpstream &upstream, const PlacingRequest &request, const PlacingWeights &weights, Time now)
{
    const double slots = std::max<std::uint32_t>(1, upstream.entry.slots);
    const double running = upstream.running;
    double cost = upstream.expected / slots + weights.running * running / slots;
    cost += request.busyShare * weights.waiting * std::max(0.0, running + 1 - slots) / slots;
    if (upstream.entry.zone != *request.zone) {
        cost += weights.otherZone;
    }
    if (now < upstream.warmUntil) {
        cost += weights.warmUp;
    }
    return cost;
}

UpstreamIndex placeFlow(const UpstreamDirectory &directory, const PlacingRequest &request, const PlacingWeights &weights, Random &random,
                        Time now)
{
    const auto &targets = request.route->targets;
    if (targets.empty()) {
        return kNoUpstream;
    }
    // Step 1. The service drawn by weight, then the route's others, so that a service without upstreams refuses no flow.
    const auto first = drawTarget(*request.route, random);
    for (std::size_t step = 0; step < targets.size(); ++step) {
        const auto candidates = directory.ofService(targets[(first + step) % targets.size()].service);
        const auto found = cheapest(directory, candidates, request, weights, random, now);
        if (found != kNoUpstream) {
            return found;
        }
    }
    // Step 2. Only suspected ones are left.
    return leastSuspect(directory, directory.ofService(targets[first].service), request.avoid);
}

} // namespace medlarway
