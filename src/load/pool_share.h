#pragma once

#include "base/time.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace medlarway
{

/// A target latency divided by the mean response of an upstream at its limit. The rest is left for the wait, for the variance of the
/// processing time and for uneven queues.
inline constexpr int kTargetLatencyParts = 3;

/// Bounds of the concurrent requests per slot. Below the lower one slots run empty between a response and the next request; above the upper
/// one requests wait longer than an upstream's queue accepts.
inline constexpr double kMinDepth = 1.25;
inline constexpr double kMaxDepth = 4;

/// Factor on the depth for each higher priority of a service's routes, so that a request of a higher priority finds room at once. Without
/// it 0.02 of the higher priority was late or refused in the simulation at 1.3 of the capacity, with it 0.001.
inline constexpr double kLowerPriorityDepth = 0.85;

/// Requests per slot of the own zone above which new flows go to other zones that have room: requests hardly wait there.
inline constexpr double kSpillDepth = 1.5;

/// Initial estimate of a route's processing time.
constexpr Duration initialProcessingTime(Duration targetLatency)
{
    return targetLatency / 10;
}

/// How long after its first SYN a client gives up an attempt.
inline constexpr Duration kClientAttempt = std::chrono::milliseconds{1400};

/// Time left divided by the longest wait for room; see longestWait().
inline constexpr int kWaitParts = 7;

/// How long a new flow may wait for room: a seventh of the time left, which is the target latency at its first SYN. Under a lasting
/// overload nearly every flow waits that long, so a longer wait makes more of them late: with a third 0.10 of the served ones in the
/// simulation of tests/steering/load_test.cpp, with a seventh 0.005. Random peaks of a host are shorter. Bounded by kClientAttempt.
constexpr Duration longestWait(Duration timeLeft)
{
    constexpr Duration kMaxWait = std::chrono::seconds{1};
    return std::min(timeLeft / kWaitParts, kMaxWait);
}

/// Concurrent requests per slot up to which a route may use upstreams. higherPriorities: number of distinct higher priorities among the
/// routes of its service.
double poolDepth(Duration targetLatency, Duration processing, std::uint32_t higherPriorities);

/// What a host assumes about its own zone's part of a service.
struct OwnZoneView {
    double limit = 0; ///< slots times depth
    double hosts = 1; ///< known hosts of the zone
    double ownDemand = 0; ///< of this host
    std::optional<double> toldDemand; ///< sum over the hosts that told theirs
    double toldHosts = 0; ///< how many told
};

/// This host's share of its own zone's pool, in concurrent requests: by demand if told, else equal shares.
double ownZoneShare(const OwnZoneView &view);

/// What a host assumes about another zone's part of a service.
struct OtherZoneView {
    double limit = 0; ///< slots times depth
    double depth = 1; ///< requests per slot at the limit
    double hosts = 1; ///< known hosts of this host's zone
    double spillingZones = 1; ///< zones that may send flows there
    std::optional<double> toldDemand; ///< of that zone's hosts
    double requestsPerSlot = 1; ///< as measured by the responses to this host
};

/// This host's share of another zone's pool, in concurrent requests.
double otherZoneShare(const OtherZoneView &view);

/// A share at a depth, corrected by the measured requests per slot: other hosts use less or more than their shares.
double correctedShare(double share, double depth, double requestsPerSlot);

} // namespace medlarway
