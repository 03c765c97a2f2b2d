#include "balance/choice.h"

#include <algorithm>
#include <vector>

namespace medlarway
{

namespace
{

/// One free slot for each upstream that has one.
using Candidates = std::vector<SlotIndex>;

std::size_t usableSlots(const UpstreamState &state, const ChoiceContext &context)
{
    return std::min<std::size_t>(state.slots.size(), context.slotsPerUpstream);
}

// An upstream with several slots reserves slot 0 for short requests. Each slot has one owner, so the
// reservation holds across all hosts without any messages. A request that turned out to be long only
// after its start may occupy slot 0; the last free slot is then reserved instead.
std::size_t firstSlot(const UpstreamState &state, const ChoiceContext &context, bool isLong)
{
    const std::size_t slots = usableSlots(state, context);
    if (!isLong || !context.options.lanes || slots <= 1 || context.longMayUseAllSlots) {
        return 0;
    }
    return state.runningLong + 1 >= slots ? slots : 1;
}

Candidates findCandidates(const UpstreamTable &table, const ChoiceContext &context, bool isLong, const std::optional<Endpoint> &avoid,
                          Time now)
{
    Candidates candidates;
    Candidates avoided;
    for (std::size_t i = 0; i < table.all().size(); ++i) {
        const UpstreamState &state = table.all()[i];
        const std::optional<std::size_t> slot = freeSlot(state, context, isLong, now);
        if (!slot) {
            continue;
        }
        const bool isAvoided = avoid == state.upstream.address || isReportedUnhealthy(state, now);
        (isAvoided ? avoided : candidates).push_back({i, *slot});
    }
    return candidates.empty() ? avoided : candidates;
}

SlotIndex lowestCost(const UpstreamTable &table, const ChoiceContext &context, const Candidates &candidates, Random &random, Time now)
{
    const std::size_t offset = random.below(candidates.size());
    SlotIndex best = candidates[offset];
    double bestCost = choiceCost(table.all()[best.upstream], context, now);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const SlotIndex &candidate = candidates[(offset + i) % candidates.size()];
        const double cost = choiceCost(table.all()[candidate.upstream], context, now);
        if (cost < bestCost) {
            best = candidate;
            bestCost = cost;
        }
    }
    return best;
}

SlotIndex betterOfTwo(const UpstreamTable &table, const ChoiceContext &context, const Candidates &candidates, Random &random, Time now)
{
    const std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return candidates[first];
    }
    const std::size_t second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    const double firstCost = choiceCost(table.all()[candidates[first].upstream], context, now);
    const double secondCost = choiceCost(table.all()[candidates[second].upstream], context, now);
    return secondCost < firstCost ? candidates[second] : candidates[first];
}

SlotIndex roundRobin(const Candidates &candidates, std::size_t &roundRobinNext)
{
    const auto next = std::find_if(candidates.begin(), candidates.end(),
                                   [roundRobinNext](const SlotIndex &candidate) { return candidate.upstream >= roundRobinNext; });
    const SlotIndex candidate = next == candidates.end() ? candidates.front() : *next;
    roundRobinNext = candidate.upstream + 1;
    return candidate;
}

} // namespace

std::optional<std::size_t> freeSlot(const UpstreamState &state, const ChoiceContext &context, bool isLong, Time now)
{
    if (!acceptsRequests(state, now) || state.running >= concurrencyLimit(state, context.slotsPerUpstream, now)) {
        return std::nullopt;
    }
    if (context.options.strategy == Strategy::Gossip && state.running + peersRunning(state) >= context.slotsPerUpstream) {
        return std::nullopt;
    }
    for (std::size_t i = firstSlot(state, context, isLong); i < usableSlots(state, context); ++i) {
        const Slot &slot = state.slots[i];
        const bool own = slot.owner == context.self && now >= slot.lentUntil;
        const bool borrowed = slot.borrowedUntil && now < *slot.borrowedUntil;
        if (!slot.busy && (own || borrowed || slot.ownerSilent)) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> lendableSlot(const UpstreamState &state, const ChoiceContext &context, bool isLong, Time now)
{
    if (!acceptsRequests(state, now) || state.running >= concurrencyLimit(state, context.slotsPerUpstream, now)) {
        return std::nullopt;
    }
    for (std::size_t i = firstSlot(state, context, isLong); i < usableSlots(state, context); ++i) {
        const Slot &slot = state.slots[i];
        if (slot.owner == context.self && !slot.busy && now >= slot.lentUntil && now >= slot.lendableFrom) {
            return i;
        }
    }
    return std::nullopt;
}

// The number of requests running at the upstream, plus surcharges. Half a slot for another zone makes an
// idle upstream there cheaper than one in this zone that already runs a request. The recent busy time
// breaks ties in favour of the upstream that was used least.
double choiceCost(const UpstreamState &state, const ChoiceContext &context, Time now)
{
    constexpr double kOtherZoneCost = 0.5;
    constexpr double kColdCost = 1.0;
    constexpr double kRecentBusyWeight = 0.01;

    double cost = state.running;
    if (context.options.strategy == Strategy::Gossip) {
        cost += peersRunning(state);
    }
    if (context.options.preferOwnZone && state.upstream.zone != context.zone) {
        cost += kOtherZoneCost;
    }
    if (state.warmUpResponses < kWarmUpResponses) {
        cost += kColdCost;
    }
    return cost + kRecentBusyWeight * recentBusySeconds(state, now);
}

std::optional<SlotIndex> chooseSlot(const UpstreamTable &table, const ChoiceContext &context, bool isLong,
                                    const std::optional<Endpoint> &avoid, std::size_t &roundRobinNext, Random &random, Time now)
{
    const Candidates candidates = findCandidates(table, context, isLong, avoid, now);
    if (candidates.empty()) {
        return std::nullopt;
    }
    switch (context.options.strategy) {
    case Strategy::Random:
        return candidates[random.below(candidates.size())];
    case Strategy::RoundRobin:
        return roundRobin(candidates, roundRobinNext);
    case Strategy::TwoChoices:
    case Strategy::Gossip:
        return betterOfTwo(table, context, candidates, random, now);
    case Strategy::LeastConnections:
    case Strategy::Leases:
        break;
    }
    return lowestCost(table, context, candidates, random, now);
}

} // namespace medlarway
