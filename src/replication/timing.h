#pragma once

#include "base/time.h"

#include <chrono>

namespace medlarway
{

/// How long data of the platform may be on its way to this host.
struct ReplicationBounds {
    Duration drain = std::chrono::seconds{3}; ///< an upstream that drains or has left gets no new flows after this
    Duration config = std::chrono::seconds{3}; ///< a configuration is in force after this

    friend bool operator==(const ReplicationBounds &, const ReplicationBounds &) = default;
};

/// The intervals of readers and followers, derived from the bounds.
struct ReplicationTiming {
    Duration maxAge; ///< a host whose data was confirmed longer ago than this reads the platform itself
    Duration watchWait; ///< how long the platform may hold a watch of a host that others follow
    Duration soloWatchWait; ///< the same for a host that is alone in its zone
    Duration responseTimeout; ///< how long a response of the platform may take; a watch is allowed its wait in addition
    Duration maxResponseTimeout; ///< the same after calls that failed, as the platform may be slow
    Duration maxBackoff; ///< longest delay after a call that failed
    Duration requestHold; ///< how long a reader may hold a follower's request
    Duration freshness; ///< how long after a confirmation what the data lacks counts as missing on the platform, too
    Duration pause; ///< from a response with changes to the next watch, so that a burst of changes takes few calls
    Duration urgentPause; ///< the same while a change is needed by callers

    friend bool operator==(const ReplicationTiming &, const ReplicationTiming &) = default;
};

/// Derives the intervals from the stricter of the two bounds.
ReplicationTiming timingFor(const ReplicationBounds &bounds);

/// What may make a change of the platform urgent for callers.
struct ReadUrgency {
    bool upstreamSuspected = false; ///< an upstream with flows does not respond; the platform may list its replacement
    bool routeUnknown = false; ///< packets came for an address that no known route has
    bool afterGap = false; ///< this host missed changes, for example while it was paused
    bool followerUrgent = false; ///< one of the above holds for a follower

    friend bool operator==(const ReadUrgency &, const ReadUrgency &) = default;
};

/// The pause after a response with changes.
Duration pauseAfterChanges(const ReplicationTiming &timing, const ReadUrgency &urgency);

} // namespace medlarway
