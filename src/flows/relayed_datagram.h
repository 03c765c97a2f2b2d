#pragma once

#include "base/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarway
{

/// A datagram from a caller, relayed from the host that received it towards the host that holds its flow.
struct RelayedDatagram {
    Endpoint caller;
    Endpoint service;
    std::uint8_t hops = 0; ///< number of relays, including this one
    std::string payload;
};

/// Maximum payload of a relayed datagram in bytes: fits into an Ethernet frame with the headers of IP, UDP and
/// the relay. Larger ones are dropped as ErrorKind::DatagramTooLarge, since relays never fragment.
inline constexpr std::size_t kMaxRelayPayloadBytes = 1400;

/// Maximum number of relays of one datagram; a host drops it as ErrorKind::HopLimit rather than exceed this.
inline constexpr std::uint8_t kMaxRelayHops = 4;

/// True if a payload of this size may be relayed.
constexpr bool fitsRelay(std::size_t payloadBytes)
{
    return payloadBytes <= kMaxRelayPayloadBytes;
}

} // namespace medlarway
