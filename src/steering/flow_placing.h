#pragma once

#include "base/random.h"
#include "steering/directory.h"
#include "steering/route_table.h"

namespace medlarway
{

/// What placing weighs. Loads are in requests for each slot of an upstream.
struct PlacingWeights {
    double otherZone = 0.8; ///< load that a flow accepts more in its own zone: crossing costs delay, bytes, and a cut breaks it
    double running = 0.2; ///< of what runs this moment, against what the open flows are expected to run
    double waiting = 1.0; ///< of requests that would have to wait for a slot
    double warmUp = 0.3; ///< added while an upstream is slow after its start
};

/// A flow that needs an upstream.
struct PlacingRequest {
    const FlowRoute *route = nullptr;
    const AvailabilityZone *zone = nullptr; ///< this host's
    double busyShare = 1; ///< of the flow's life in which a request runs; near 1 for a flow that carries one request
    UpstreamIndex avoid = kNoUpstream; ///< already tried
};

/// What one more flow would meet at the upstream; lower is better.
double placingCost(const KnownUpstream &upstream, const PlacingRequest &request, const PlacingWeights &weights, Time now);

/// Chooses the upstream for a new flow; kNoUpstream where the route's services have none that takes flows.
UpstreamIndex placeFlow(const UpstreamDirectory &directory, const PlacingRequest &request, const PlacingWeights &weights, Random &random,
                        Time now);

} // namespace medlarway
