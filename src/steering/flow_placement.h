#pragma once

#include "base/random.h"
#include "steering/directory.h"
#include "steering/pool_loads.h"
#include "steering/route_table.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace medlarway
{

/// Weights of the placement cost. Loads are in requests per slot of an upstream.
struct PlacementWeights {
    double otherZone = 0.8; ///< penalty of another zone: crossing adds latency and traffic, and a zone partition breaks the flow
    double running = 0.2; ///< weight of the outstanding requests relative to the expected load of the open flows
    double waiting = 1.0; ///< weight of requests that would have to wait for a slot
    double warmUp = 0.3; ///< penalty while an upstream warms up after its start
};

/// Why an upstream is not considered for a new flow.
enum class PassedOver : std::uint8_t {
    No, ///< it is considered
    Excluded, ///< the previous SYN of the flow was sent to it
    Draining,
    Evacuated, ///< its zone is evacuated
    WarmingUp, ///< it warms up under a limit, and another host uses it or the limit is reached
    Suspected, ///< suspected to be down, and no trial is due
    Full, ///< this host's share of the service's upstreams in that zone is used up, or is to be used later
    Count, ///< number of reasons, not a reason
};

/// How often an upstream was passed over, by PassedOver.
using PassedOverCounts = std::array<std::uint64_t, static_cast<std::size_t>(PassedOver::Count)>;

/// A new flow to be placed on an upstream.
struct PlacementRequest {
    const FlowRoute *route = nullptr;
    const AvailabilityZone *zone = nullptr; ///< zone of this host
    double busyShare = 1; ///< share of the flow's lifetime with an outstanding request; near 1 for a flow that carries a single request
    const OpenPools *open = nullptr; ///< if set, only these pools are used, except for trials
    bool limitedOnly = false; ///< only upstreams that warm up under a limit are used
    UpstreamIndex excluded = kNoUpstream; ///< never chosen: the upstream that the previous SYN was sent to
    PassedOverCounts *counts = nullptr; ///< counts the upstreams that are passed over; null for a placement that is not carried out
};

/// The name of a reason in logs and metrics.
std::string_view passedOverName(PassedOver reason);

/// Why the upstream is passed over for the flow.
PassedOver passedOver(const UpstreamDirectory &directory, UpstreamIndex index, const PlacementRequest &request, Time now);

/// Cost of placing a flow on an upstream, by part.
struct PlacementCost {
    double load = 0; ///< expected load of the open flows
    double running = 0; ///< outstanding requests
    double waiting = 0; ///< requests that would have to wait for a slot
    double otherZone = 0;
    double warmUp = 0;
    double slowness = 1; ///< factor that load, running and waiting already contain

    double total() const
    {
        return load + running + waiting + otherZone + warmUp;
    }

    friend bool operator==(const PlacementCost &, const PlacementCost &) = default;
};

/// A part of the cost and its name.
struct PlacementCostPart {
    std::string_view name;
    double PlacementCost::*value;
};

/// The parts whose sum is the total, in the order of the explanations.
inline constexpr std::array kPlacementCostParts{
    PlacementCostPart{"load", &PlacementCost::load},       PlacementCostPart{"running", &PlacementCost::running},
    PlacementCostPart{"waiting", &PlacementCost::waiting}, PlacementCostPart{"other-zone", &PlacementCost::otherZone},
    PlacementCostPart{"warm-up", &PlacementCost::warmUp},
};
static_assert(sizeof(PlacementCost) == (kPlacementCostParts.size() + 1) * sizeof(double), "a part of the cost has no name");

/// Upper bound of the random cost that is added to the cost of an upstream.
double tieNoise(const UpstreamRecord &upstream);

/// Cost of placing the flow on the upstream; lower is better.
PlacementCost placementCost(const UpstreamRecord &upstream, const PlacementRequest &request, const PlacementWeights &weights, Time now);

/// Chooses the upstream for a new flow; kNoUpstream if no upstream of the route's services accepts flows.
UpstreamIndex placeFlow(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                        Random &random, Time now);

/// Whether an upstream of the route's services is passed over only for its warm-up.
bool isHeldBackByWarmUp(const UpstreamDirectory &directory, const PlacementRequest &request, Time now);
/// As placeFlow(), for a flow for which the route's target in this row is drawn, and without the random cost that breaks ties.
UpstreamIndex expectedPlacement(const UpstreamDirectory &directory, const PlacementRequest &request, const PlacementWeights &weights,
                                std::size_t target, Time now);

} // namespace medlarway
