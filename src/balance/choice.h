#pragma once

#include "balance/options.h"
#include "balance/upstream_table.h"

#include "base/random.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// What a choice of an upstream depends on besides the upstreams themselves.
struct ChoiceRules {
    HostId self;
    AvailabilityZone zone;
    std::uint32_t slotsPerUpstream = 2;
    DispatcherOptions options;
    bool longMayTakeAll = false; ///< no short work came of late, so long work may use every slot
};

/// A slot of an upstream, by their places in the table.
struct SlotPlace {
    std::size_t upstream = 0;
    std::size_t slot = 0;

    friend bool operator==(const SlotPlace &, const SlotPlace &) = default;
};

/// The first slot there that this host may start a request of the lane in; nullopt where there is none.
std::optional<std::size_t> freeSlot(const UpstreamState &state, const ChoiceRules &rules, bool isLong, Time now);

/// The first slot there that this host owns, does not use and may lend for a request of the lane.
std::optional<std::size_t> lendableSlot(const UpstreamState &state, const ChoiceRules &rules, bool isLong, Time now);

/// How much an upstream is to be avoided; the lowest is taken.
double choiceCost(const UpstreamState &state, const ChoiceRules &rules, Time now);

/// Picks a slot for a request; nullopt where none is free. `avoid` is taken only where nothing else is free.
/// `turn` is the state of the round robin.
std::optional<SlotPlace> chooseSlot(const UpstreamTable &table, const ChoiceRules &rules, bool isLong, const std::optional<Endpoint> &avoid,
                                    std::size_t &turn, Random &random, Time now);

} // namespace medlarway
