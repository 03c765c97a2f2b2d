#pragma once

#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// Whether a new flow can still be worth something to its caller.
enum class FlowOutlook : std::uint8_t {
    OnTime, ///< it can be answered within the target latency
    Late, ///< it can be answered within the deadline
    Expired, ///< it can't be answered within the deadline any more
};

/// The time that the caller of a new flow has.
struct FlowTimes {
    Duration targetLatency{}; ///< within which callers want a response
    Duration deadline{}; ///< after which a response is worth nothing; 0: none
    Duration elapsed{}; ///< since the caller's first SYN
    Duration response{}; ///< expected time from now to the response if the flow is forwarded
};

/// The smaller one of the target latency and the deadline; 0 without a target latency.
constexpr Duration boundedTargetLatency(Duration targetLatency, Duration deadline)
{
    return deadline > Duration{} && deadline < targetLatency ? deadline : targetLatency;
}

/// What a flow with the times can still get. A flow at its first SYN is on time, and stays so while it waits for longestWait().
FlowOutlook outlookOf(const FlowTimes &times);

/// How long a new flow may wait for room: a seventh of the time left until the target latency or, for a late flow, until the deadline.
Duration longestWait(const FlowTimes &times);

/// The name of an outlook on the operator's pages.
const char *outlookName(FlowOutlook outlook);

} // namespace medlarway
