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

// Limits of the timeouts for long bounds: a host with recent data serves better than one that is merely within its bound.
constexpr Duration kMaxFirstTimeout = std::chrono::milliseconds{900};
constexpr Duration kMaxResponseTimeout = std::chrono::seconds{3};
constexpr Duration kMaxBackoff = std::chrono::seconds{1};

} // namespace

// Half of the bound is for noticing that a reader is gone or stale, the rest for reading itself. A reader confirms its data more often than
// that, and a follower's request outlasts the wait of its reader, so at rest there is one reply for each response of the platform. A change
// may wait for the pause before it sets out.
//
// A call may get lost as the platform comes back, without an error. The next one has to follow within the bound, as this host may have no
// other source: a lost watch takes its wait, the first timeout and a backoff; a later call the longest timeout and a backoff.
ReplicationTiming timingFor(const ReplicationBounds &bounds)
{
    const auto bound = std::min(bounds.drain, bounds.config);
    ReplicationTiming timing;
    timing.maxAge = bound / 2;
    timing.watchWait = std::min(timing.maxAge * 2 / 3, kMaxWatchWait);
    timing.soloWatchWait = std::min(timing.maxAge, kMaxWatchWait);
    timing.responseTimeout = std::min(bound * 3 / 10, kMaxFirstTimeout);
    timing.maxResponseTimeout = std::min(bound / 2, kMaxResponseTimeout);
    timing.maxBackoff = std::min(bound / 6, kMaxBackoff);
    timing.requestHold = timing.watchWait + kDeliveryMargin;
    timing.freshness = std::min(bound, kMaxWatchWait + kMaxFirstTimeout);
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
