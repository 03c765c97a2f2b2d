#pragma once

#include "steering/flow_steering.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A host's copy of the platform's data, for a host that can't read the platform itself.
struct SteeringSnapshot {
    Revision asOf; ///< platform revision up to which the data is complete
    RouteConfig config;
    std::vector<UpstreamEntry> upstreams; ///< all listed upstreams
    std::vector<Endpoint> hosts; ///< control addresses of entry hosts known to the sender
    std::vector<ZoneEvacuation> evacuations; ///< all active ones
    std::vector<RecentEnd> recentEnds; ///< of evacuations

    friend bool operator==(const SteeringSnapshot &, const SteeringSnapshot &) = default;
};

/// An upstream that the platform no longer lists.
struct RemovedUpstream {
    std::string id;
    Revision revision; ///< platform revision of the removal

    friend bool operator==(const RemovedUpstream &, const RemovedUpstream &) = default;
};

/// What changed on the platform since a revision.
struct SteeringDelta {
    Revision asOf; ///< platform revision up to which the receiver's data is complete once it applied the delta
    bool full = false; ///< upstreams contains all listed upstreams, and any other one was removed
    std::optional<RouteConfig> config; ///< set if it is newer than the receiver's
    std::vector<UpstreamEntry> upstreams; ///< added and changed upstreams
    std::vector<RemovedUpstream> removed;
    std::vector<ZoneEvacuation> evacuations; ///< changed ones; all active ones if full, and any other one has ended
    std::vector<RecentEnd> recentEnds; ///< those of evacuations that the receiver may not know

    friend bool operator==(const SteeringDelta &, const SteeringDelta &) = default;
};

/// The highest valid value in an encoded message.
constexpr RouteKind highestOf(RouteKind /*type*/)
{
    return RouteKind::Download;
}

/// Copies this host's configuration and listed upstreams. asOf is the platform revision up to which they are complete.
SteeringSnapshot takeSnapshot(const FlowSteering &steering, const Revision &asOf, Time now);

/// The snapshot as a delta for a host that knows nothing.
SteeringDelta fullDelta(const SteeringSnapshot &snapshot);

/// Applies everything in the snapshot that is newer than this host's data; nothing is reverted. True if something changed.
bool applySnapshot(FlowSteering &steering, const SteeringSnapshot &snapshot, Time now);

/// Up to which revision and version data is known.
struct KnownData {
    Revision asOf; ///< platform revision
    std::uint64_t version = 0; ///< of the configuration

    friend bool operator==(const KnownData &, const KnownData &) = default;
};

/// The changes from what a receiver knows to what this host knows up to asOf. The delta is full if this host may have forgotten a removal
/// since then: it tracks them from the revision trackedFrom on.
SteeringDelta takeDelta(const FlowSteering &steering, const KnownData &receiver, const Revision &asOf, const Revision &trackedFrom,
                        Time now);

/// The ends of evacuations that another host may have missed, however recent its data is: the latest ones of zones with upstreams.
std::vector<RecentEnd> takeRecentEnds(const FlowSteering &steering, Time now);

/// Limits of a list of former upstreams, which is part of a datagram.
inline constexpr std::size_t kMaxFormerInList = 8;
inline constexpr std::size_t kMaxFormerIdBytes = 200;

/// The upstreams that are no longer listed and share a token with another one: those that were listed last, within the limits.
std::vector<FormerUpstream> takeFormerUpstreams(const FlowSteering &steering, Time now);

/// What is invalid about such a list from another host; empty if nothing is.
std::string_view invalidFormer(std::span<const FormerUpstream> former);

/// Applies everything in the delta that is newer than this host's data; nothing is reverted. True if something changed.
bool applyDelta(FlowSteering &steering, const SteeringDelta &delta, Time now);

} // namespace medlarway
