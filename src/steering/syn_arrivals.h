#pragma once

#include "base/time.h"
#include "steering/flow_packet.h"

#include <cstdint>

namespace medlarway
{

/// The copies of a flow's SYN that arrived at this host.
struct SynArrivals {
    Time latest; ///< when the latest one arrived
    std::uint8_t copy = 0; ///< how many the client sent before it
    bool complete = false; ///< these arrived here, too

    friend bool operator==(const SynArrivals &, const SynArrivals &) = default;
};

/// The arrivals after the first copy that this host got, or kept.
SynArrivals firstArrival(const FlowPacket &syn, Time now);

/// The arrivals after a further copy.
SynArrivals addArrival(const SynArrivals &before, const FlowPacket &syn, Time now);

/// Whether the token in a packet that follows the SYN is that of the upstream whose response the client accepted, and not that of another
/// one which got a copy of the SYN. severalUpstreams: this host sent copies to more than one.
bool showsAcceptedUpstream(const SynArrivals &arrivals, bool severalUpstreams, Time now);

} // namespace medlarway
