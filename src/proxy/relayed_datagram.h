#pragma once

#include "base/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarway
{

/// Largest payload that is relayed between hosts, so that it fits an Ethernet frame with our header.
inline constexpr std::size_t kRelayedPayloadBytes = 1400;

/// Hosts that a datagram may pass after the one that took it from its caller or upstream.
inline constexpr std::uint8_t kRelayHops = 3;

/// A caller's datagram that is handed to the host that owns its flow.
struct RelayedDatagram {
    std::string service;
    Endpoint caller;
    std::uint8_t hops = 0; ///< hosts it passed already
    std::string payload;

    friend bool operator==(const RelayedDatagram &, const RelayedDatagram &) = default;
};

} // namespace medlarway
