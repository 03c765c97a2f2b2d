#pragma once

#include "base/endpoint.h"
#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// Kinds of messages about flows. The values are part of the encoding.
enum class FlowMessageKind : std::uint8_t {
    Claim, ///< asks for the holder of a flow; if none is known, the sender becomes the holder
    HolderFound, ///< response to Claim and Query: the holder, and the upstream if it is known
    HolderUnknown, ///< response to Claim and Query: the sender knows no holder
    Query, ///< asks for the holder of a flow without claiming it
    NotHolder, ///< the sender received a relayed packet of a flow that it does not hold
    Announce, ///< lists flows that the receiver owns, with their holder
    AnnounceAck, ///< acknowledges the Announce with the same batchId
};

/// The highest value that is valid in a message.
constexpr FlowMessageKind highestOf(FlowMessageKind /*type*/)
{
    return FlowMessageKind::AnnounceAck;
}

/// A flow and the upstream that it is bound to.
struct FlowBinding {
    Endpoint caller;
    Endpoint service;
    Endpoint upstream; ///< port 0 if not known

    friend bool operator==(const FlowBinding &, const FlowBinding &) = default;
};

/// A message between the flow routers of two hosts.
struct FlowMessage {
    FlowMessageKind kind = FlowMessageKind::Claim;
    std::uint64_t batchId = 0; ///< set in Announce and AnnounceAck
    std::uint64_t announcedPlacement
        = 0; ///< in responses to Claim and Query: the placement under which the sender has announced all its flows, else 0
    HostId holder; ///< set in HolderFound and Announce
    std::vector<FlowBinding> flows; ///< at most kMaxFlowsPerMessage

    friend bool operator==(const FlowMessage &, const FlowMessage &) = default;
};

/// Maximum number of flows in one message; a longer message is ignored.
inline constexpr std::size_t kMaxFlowsPerMessage = 48;

} // namespace medlarway
