#include "replication/timing.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// The response of the platform, and the way from the reader to its followers.
constexpr Duration kDeliveryMargin = std::chrono::milliseconds{150};

// With the time in which a response may come, a longer wait would exceed the 4 s after which a silent connection must be known.
constexpr Duration kMaxWatchWait = std::chrono::milliseconds{2800};

} // namespace

// Half of the bound is for noticing that a reader is gone or stale, the rest for reading itself. A reader confirms its data more often than
// that, and a follower's request outlasts the wait of its reader, so at rest there is one reply for each response of the platform. A change
// may wait for the pause before it sets out.
ReplicationTiming timingFor(const ReplicationBounds &bounds)
{
    const auto bound = std::min(bounds.drain, bounds.config);
    ReplicationTiming timing;
    timing.maxAge = bound / 2;
    timing.watchWait = std::min(timing.maxAge * 2 / 3, kMaxWatchWait);
    timing.requestHold = timing.watchWait + kDeliveryMargin;
    timing.pause = timing.maxAge / 3;
    timing.urgentPause = timing.pause / 4;
    return timing;
}

Duration pauseAfterChanges(const ReplicationTiming &timing, const ReadUrgency &urgency)
{
    const bool urgent = urgency.upstreamSuspected || urgency.routeUnknown || urgency.afterGap || urgency.followerUrgent;
    return urgent ? timing.urgentPause : timing.pause;
}

} // namespace medlarway
