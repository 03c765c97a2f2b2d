#pragma once

#include "balance/options.h"
#include "balance/upstream_table.h"

#include "base/random.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// The inputs to the choice of an upstream other than the state of the upstreams.
struct ChoiceContext {
    HostId self;
    AvailabilityZone zone;
    std::uint32_t slotsPerUpstream = 2;
    DispatcherOptions options;
    bool longMayUseAllSlots = false; ///< lifts the reservation for short requests while none arrive
};

/// Identifies a slot by the index of its upstream in the UpstreamTable and its index within that upstream.
struct SlotIndex {
    std::size_t upstream = 0;
    std::size_t slot = 0;

    friend bool operator==(const SlotIndex &, const SlotIndex &) = default;
};

/// Returns the first slot of the upstream in which this host may start a request of the lane, nullopt if there is none.
std::optional<std::size_t> freeSlot(const UpstreamState &state, const ChoiceContext &context, bool isLong, Time now);

/// Returns the first idle slot that this host owns and may lend for a request of the lane, nullopt if there is none.
std::optional<std::size_t> lendableSlot(const UpstreamState &state, const ChoiceContext &context, bool isLong, Time now);

/// Returns the cost of starting a request at the upstream, in slots; the upstream with the lowest cost is preferred.
double choiceCost(const UpstreamState &state, const ChoiceContext &context, Time now);

/// Picks a slot for a request; nullopt if none is free. The upstream `avoid` and those reported unhealthy are
/// used only if no other has a free slot. Strategy::RoundRobin reads and updates `roundRobinNext`, the index of
/// the upstream that is next in turn.
std::optional<SlotIndex> chooseSlot(const UpstreamTable &table, const ChoiceContext &context, bool isLong,
                                    const std::optional<Endpoint> &avoid, std::size_t &roundRobinNext, Random &random, Time now);

} // namespace medlarway
