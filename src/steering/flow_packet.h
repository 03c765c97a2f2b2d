#pragma once

#include "base/endpoint.h"
#include "base/hash.h"
#include "base/time.h"

#include <compare>
#include <cstddef>
#include <cstdint>

namespace medlarway
{

/// Identifies a flow by its two endpoints as the client sees them.
struct FlowId {
    Endpoint client;
    Endpoint destination; ///< the route's address, to which the client sends

    friend auto operator<=>(const FlowId &, const FlowId &) = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// Identifies the upstream in a flow's packets, so that a host that has not seen the flow can forward them. 0: none.
using FlowToken = std::uint32_t;

/// Maximum number of copies of a flow's SYN that a client sends.
inline constexpr std::size_t kMaxSyns = 3;

/// The decoded header of a client's packet. The payload is not inspected.
struct FlowPacket {
    FlowId flow;
    FlowToken token = 0; ///< the last token that the client received on this flow
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint16_t dataBytes = 0;
    std::uint8_t earlierSyns = 0; ///< of a SYN: how many copies the client sent before, up to kMaxSyns - 1
    Duration waited{}; ///< how long this host has kept it
    bool allSynsHere = false; ///< of a SYN: the copies before it arrived at this host, too
    bool syn = false; ///< opens a flow
    bool fin = false; ///< the client will send no more data
    bool rst = false; ///< aborts the flow

    friend bool operator==(const FlowPacket &, const FlowPacket &) = default;
};

/// Hash function for tables keyed by FlowId.
struct FlowIdHash {
    std::size_t operator()(const FlowId &flow) const noexcept
    {
        const auto pack = [](const Endpoint &end) { return (std::uint64_t{end.address} << 16U) | end.port; };
        return combineHash(pack(flow.client), pack(flow.destination));
    }
};

} // namespace medlarway
