#include "replication/timing.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// A response of a slow store, and the way from the reader to its followers.
constexpr Duration kDeliveryMargin = std::chrono::milliseconds{400};

constexpr Duration kMinWatchWait = std::chrono::milliseconds{300};

// With the time in which a response may come, a longer wait would exceed the 4 s after which a silent connection must be known.
constexpr Duration kMaxWatchWait = std::chrono::milliseconds{2800};

} // namespace

// Half of the bound is for noticing that a reader is gone or stale, the rest for reading itself. Within the first half a follower's request
// can be lost twice. The pause of a reader is the same fraction, since a change may wait for it before it sets out.
ReplicationTiming timingFor(const ReplicationBounds &bounds)
{
    const auto bound = std::min(bounds.drain, bounds.config);
    ReplicationTiming timing;
    timing.maxAge = bound / 2;
    timing.watchWait = std::clamp(timing.maxAge - kDeliveryMargin, kMinWatchWait, kMaxWatchWait);
    timing.requestHold = timing.maxAge / 3;
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
