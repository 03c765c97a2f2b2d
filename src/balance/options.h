#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace medlarway
{

/// How a dispatcher picks an upstream and what it knows of the slots that other hosts use.
enum class Sharing : std::uint8_t {
    Random, ///< any upstream, without regard to load
    RoundRobin, ///< each upstream in turn
    LeastConnections, ///< the fewest of this host's own requests
    TwoChoices, ///< the better of two upstreams drawn at random, by own counts
    Gossip, ///< two choices, by own counts and those told by peers
    Leases, ///< each slot is owned by one host, which lends it for a short time
};

/// What can be switched in a dispatcher; the defaults are what the daemon runs.
struct DispatcherOptions {
    Sharing sharing = Sharing::Leases;
    bool zoneFirst = true; ///< prefer upstreams of the host's own availability zone
    bool lanes = true; ///< keep a slot of each upstream free of long work
    bool earlyRefusal = true; ///< refuse what is not expected to finish in time

    friend bool operator==(const DispatcherOptions &, const DispatcherOptions &) = default;
};

} // namespace medlarway
