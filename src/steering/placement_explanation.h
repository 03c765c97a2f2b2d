#pragma once

#include "steering/flow_placement.h"
#include "steering/flow_steering.h"

#include <array>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// An upstream as a candidate for a new flow.
struct PlacementCandidate {
    UpstreamIndex upstream = kNoUpstream;
    PassedOver reason = PassedOver::No;
    PlacementCost cost; ///< also if it is passed over
    bool onTrial = false; ///< suspected to be down, and due for a trial with the next flow
    bool mayBeChosen = false; ///< its cost is so near the lowest that the random cost that breaks ties may decide for it
};

/// A pool of one of the route's services, if the route has a target latency.
struct PlacementPool {
    std::string service;
    AvailabilityZone zone;
    double slots = 0; ///< of the upstreams that take flows
    double limit = 0; ///< concurrent requests of all hosts that the route may cause
    double share = 0; ///< this host's part of it
    double load = 0; ///< concurrent requests of this host's flows
    bool hasRoom = false; ///< it may get the flow
    bool isKept = false; ///< it may not, although a part of the share is left: flows go to another zone with more room
    std::optional<double> told; ///< demand of the zone's hosts in concurrent requests
    Duration toldAge{}; ///< age of the oldest part of it
};

/// What a new flow would meet that finds no room.
struct PlacementWait {
    bool refused = false; ///< it would be reset, as it can't be expected to find room in time
    Duration longest{}; ///< longest time that it may wait
    std::uint32_t before = 0; ///< flows of the service that wait and would get room first
    std::uint32_t displaced = 0; ///< less urgent flows that would be reset for it
};

/// The time that a new flow has whose SYN reaches this host first with this copy.
struct PlacementTimeLeft {
    FlowTimes times;
    FlowOutlook outlook = FlowOutlook::OnTime;
    Duration longestWait{}; ///< longest time that it may wait
};

/// The candidates of one service of the route, those that are considered first, each part by cost.
struct PlacementService {
    std::string service;
    std::uint32_t weight = 0;
    UpstreamIndex choice = kNoUpstream; ///< where the flow would go if this service were drawn first
    std::vector<PlacementCandidate> candidates;
};

/// The upstreams of the route's services in one zone.
struct PlacementZone {
    AvailabilityZone zone;
    std::uint32_t upstreams = 0; ///< listed ones
    std::array<std::uint32_t, static_cast<std::size_t>(PassedOver::Count)> byReason{}; ///< the listed ones by PassedOver
    std::uint32_t unlisted = 0; ///< upstreams that the platform listed until a short time ago
    std::uint32_t onTrial = 0; ///< suspected ones that are considered, as a trial is due
    std::uint32_t warmingUp = 0; ///< listed ones that warm up under a limit, whether this host uses them or not
    std::uint32_t warmingUpHere = 0; ///< of these, those that this host uses
    Duration warmUpLeft{}; ///< longest time until the end of such a warm-up
    std::optional<Duration> evacuatedFor; ///< how long this host has known that the zone is evacuated
    std::optional<double> lowestCost; ///< of those that are considered
};

/// Where a new flow would go.
struct PlacementExplanation {
    SteeringDecision decision; ///< that on its SYN; the upstream is the choice of the service with the highest weight
    FlowRoute route; ///< empty without a route
    double busyShare = 0; ///< see PlacementRequest
    bool limited = false; ///< shares of pools limit new flows of the route now
    bool fresh = false; ///< the data counts as up to date, so that what it lacks does not exist
    std::vector<PlacementPool> pools; ///< by service and zone
    std::vector<PlacementTimeLeft> timesLeft; ///< by the number of earlier copies of the SYN; empty without a target latency
    std::optional<PlacementWait> wait; ///< if no pool has room
    std::vector<PlacementService> services;
    std::vector<PlacementZone> zones; ///< every zone with a known upstream or an evacuation, by name
};

} // namespace medlarway
