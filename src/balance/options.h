#pragma once

#include "base/time.h"

#include <chrono>
#include <cstdint>

namespace medlarway
{

/// How a dispatcher picks an upstream and accounts for the slots that other hosts use.
enum class Strategy : std::uint8_t {
    Random, ///< a random upstream, regardless of load
    RoundRobin, ///< each upstream in turn
    LeastConnections, ///< the upstream with the lowest cost, counting only this host's requests
    TwoChoices, ///< the cheaper of two random upstreams, counting only this host's requests
    Gossip, ///< as TwoChoices, also counting the requests that peers report
    Leases, ///< each slot is owned by one host, which uses it or lends it to a peer for a short time
};

/// Options of a dispatcher; the daemon runs with the defaults.
struct DispatcherOptions {
    Strategy strategy = Strategy::Leases;
    bool preferOwnZone = true; ///< prefer upstreams of the host's own availability zone
    bool lanes = true; ///< separate lanes: reserve a slot of each upstream for short requests
    bool earlyRefusal = true; ///< refuse requests on arrival that are not expected to meet their deadline

    friend bool operator==(const DispatcherOptions &, const DispatcherOptions &) = default;
};

} // namespace medlarway
