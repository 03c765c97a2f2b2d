#pragma once

#include "base/endpoint.h"
#include "base/hash.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace medlarway
{

/// Names a flow by its two ends as the client sees them.
struct FlowId {
    Endpoint client;
    Endpoint destination; ///< the address and port that the client speaks to, which a route names

    friend auto operator<=>(const FlowId &, const FlowId &) = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// Names an upstream in the packets of a flow, so that any host can forward them. 0 names none.
using FlowToken = std::uint32_t;

/// What a client's packet says, decoded. The data is not looked at.
struct FlowPacket {
    FlowId flow;
    FlowToken token = 0; ///< the last one that the client received on the flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint16_t dataBytes = 0;
    bool opens = false;
    bool finishes = false;
    bool resets = false;

    friend bool operator==(const FlowPacket &, const FlowPacket &) = default;
};

/// Hashes a flow's id, for tables.
struct FlowIdHash {
    std::size_t operator()(const FlowId &flow) const noexcept
    {
        const auto pack = [](const Endpoint &end) { return (std::uint64_t{end.address} << 16U) | end.port; };
        return combineHash(pack(flow.client), pack(flow.destination));
    }
};

} // namespace medlarway
