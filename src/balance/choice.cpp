#include "balance/choice.h"

#include <algorithm>
#include <vector>

namespace medlarway
{

namespace
{

/// Upstreams with a free slot, by their places in the table.
using Candidates = std::vector<SlotPlace>;

std::size_t usableSlots(const UpstreamState &state, const ChoiceRules &rules)
{
    return std::min<std::size_t>(state.slots.size(), rules.slotsPerUpstream);
}

// Slot 0 of an upstream with several is the short lane. Since each slot has one owner, the rule
// holds over all hosts without a word between them. Long work that this host found out late may
// sit in slot 0; the other slots are the short lane then.
std::size_t firstSlot(const UpstreamState &state, const ChoiceRules &rules, bool isLong)
{
    const std::size_t slots = usableSlots(state, rules);
    if (!isLong || !rules.options.lanes || slots <= 1 || rules.longMayTakeAll) {
        return 0;
    }
    return state.runningLong + 1 >= slots ? slots : 1;
}

Candidates candidatesOf(const UpstreamTable &table, const ChoiceRules &rules, bool isLong, const std::optional<Endpoint> &avoid, Time now)
{
    Candidates candidates;
    Candidates avoided;
    for (std::size_t i = 0; i < table.all().size(); ++i) {
        const UpstreamState &state = table.all()[i];
        const std::optional<std::size_t> slot = freeSlot(state, rules, isLong, now);
        if (!slot) {
            continue;
        }
        const bool isAvoided = avoid == state.upstream.address || unhealthyByReport(state, now);
        (isAvoided ? avoided : candidates).push_back({i, *slot});
    }
    return candidates.empty() ? avoided : candidates;
}

SlotPlace cheapest(const UpstreamTable &table, const ChoiceRules &rules, const Candidates &candidates, Random &random, Time now)
{
    const std::size_t offset = random.below(candidates.size());
    SlotPlace best = candidates[offset];
    double bestCost = choiceCost(table.all()[best.upstream], rules, now);
    for (std::size_t i = 1; i < candidates.size(); ++i) {
        const SlotPlace &place = candidates[(offset + i) % candidates.size()];
        const double cost = choiceCost(table.all()[place.upstream], rules, now);
        if (cost < bestCost) {
            best = place;
            bestCost = cost;
        }
    }
    return best;
}

SlotPlace betterOfTwo(const UpstreamTable &table, const ChoiceRules &rules, const Candidates &candidates, Random &random, Time now)
{
    const std::size_t first = random.below(candidates.size());
    if (candidates.size() == 1) {
        return candidates[first];
    }
    const std::size_t second = (first + 1 + random.below(candidates.size() - 1)) % candidates.size();
    const double firstCost = choiceCost(table.all()[candidates[first].upstream], rules, now);
    const double secondCost = choiceCost(table.all()[candidates[second].upstream], rules, now);
    return secondCost < firstCost ? candidates[second] : candidates[first];
}

SlotPlace nextInTurn(const Candidates &candidates, std::size_t &turn)
{
    const auto next = std::find_if(candidates.begin(), candidates.end(), [turn](const SlotPlace &place) { return place.upstream >= turn; });
    const SlotPlace place = next == candidates.end() ? candidates.front() : *next;
    turn = place.upstream + 1;
    return place;
}

} // namespace

std::optional<std::size_t> freeSlot(const UpstreamState &state, const ChoiceRules &rules, bool isLong, Time now)
{
    if (!takesWork(state, now) || state.running >= allowedNow(state, rules.slotsPerUpstream, now)) {
        return std::nullopt;
    }
    if (rules.options.sharing == Sharing::Gossip && state.running + peersRunning(state) >= rules.slotsPerUpstream) {
        return std::nullopt;
    }
    for (std::size_t i = firstSlot(state, rules, isLong); i < usableSlots(state, rules); ++i) {
        const Slot &slot = state.slots[i];
        const bool own = slot.owner == rules.self && now >= slot.lentUntil;
        const bool borrowed = slot.borrowedUntil && now < *slot.borrowedUntil;
        if (!slot.busy && (own || borrowed || slot.ownerSilent)) {
            return i;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> lendableSlot(const UpstreamState &state, const ChoiceRules &rules, bool isLong, Time now)
{
    if (!takesWork(state, now) || state.running >= allowedNow(state, rules.slotsPerUpstream, now)) {
        return std::nullopt;
    }
    for (std::size_t i = firstSlot(state, rules, isLong); i < usableSlots(state, rules); ++i) {
        const Slot &slot = state.slots[i];
        if (slot.owner == rules.self && !slot.busy && now >= slot.lentUntil && now >= slot.notLentBefore) {
            return i;
        }
    }
    return std::nullopt;
}

// The share of the upstream's slots in use, with a surcharge of half a slot for the way to another
// zone: an idle upstream elsewhere beats a half full one here. Among equals the one that
// was in use the least of late.
double choiceCost(const UpstreamState &state, const ChoiceRules &rules, Time now)
{
    constexpr double kOtherZoneSlots = 0.5;
    constexpr double kColdSlots = 1.0;
    constexpr double kRecentWeight = 0.01;

    double cost = state.running;
    if (rules.options.sharing == Sharing::Gossip) {
        cost += peersRunning(state);
    }
    if (rules.options.zoneFirst && state.upstream.zone != rules.zone) {
        cost += kOtherZoneSlots;
    }
    if (state.warmAnswers < kWarmAnswers) {
        cost += kColdSlots;
    }
    return cost + kRecentWeight * recentBusy(state, now);
}

std::optional<SlotPlace> chooseSlot(const UpstreamTable &table, const ChoiceRules &rules, bool isLong, const std::optional<Endpoint> &avoid,
                                    std::size_t &turn, Random &random, Time now)
{
    const Candidates candidates = candidatesOf(table, rules, isLong, avoid, now);
    if (candidates.empty()) {
        return std::nullopt;
    }
    switch (rules.options.sharing) {
    case Sharing::Random:
        return candidates[random.below(candidates.size())];
    case Sharing::RoundRobin:
        return nextInTurn(candidates, turn);
    case Sharing::TwoChoices:
    case Sharing::Gossip:
        return betterOfTwo(table, rules, candidates, random, now);
    case Sharing::LeastConnections:
    case Sharing::Leases:
        break;
    }
    return cheapest(table, rules, candidates, random, now);
}

} // namespace medlarway
