#pragma once

#include "steering/flow_steering.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// What a host knows of the platform, for a host that can't read it itself.
struct SteeringSnapshot {
    std::uint64_t asOf = 0; ///< the platform's revision up to which everything was known
    RouteConfig config;
    std::vector<UpstreamEntry> upstreams; ///< all that were listed
    std::vector<Endpoint> hosts; ///< control addresses of entry hosts that the sender knows

    friend bool operator==(const SteeringSnapshot &, const SteeringSnapshot &) = default;
};

/// The highest value that a message may carry.
constexpr RouteKind highestOf(RouteKind /*type*/)
{
    return RouteKind::Download;
}

/// What this host knows. asOf is what its own reading gave, or the snapshot that it took.
SteeringSnapshot takeSnapshot(const FlowSteering &steering, std::uint64_t asOf);

/// Puts in force what is newer in the snapshot than what is known; nothing goes back. True where something changed.
bool applySnapshot(FlowSteering &steering, const SteeringSnapshot &snapshot, Time now);

} // namespace medlarway
