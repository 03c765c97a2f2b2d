#pragma once

#include "steering/flow_steering.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// A host's copy of the platform's data, for a host that can't read the platform itself.
struct SteeringSnapshot {
    std::uint64_t asOf = 0; ///< platform revision up to which the data is complete
    RouteConfig config;
    std::vector<UpstreamEntry> upstreams; ///< all listed upstreams
    std::vector<Endpoint> hosts; ///< control addresses of entry hosts known to the sender

    friend bool operator==(const SteeringSnapshot &, const SteeringSnapshot &) = default;
};

/// The highest valid value in an encoded message.
constexpr RouteKind highestOf(RouteKind /*type*/)
{
    return RouteKind::Download;
}

/// Copies this host's configuration and listed upstreams. asOf is the platform revision up to which they are complete.
SteeringSnapshot takeSnapshot(const FlowSteering &steering, std::uint64_t asOf);

/// Applies everything in the snapshot that is newer than this host's data; nothing is reverted. True if something changed.
bool applySnapshot(FlowSteering &steering, const SteeringSnapshot &snapshot, Time now);

} // namespace medlarway
