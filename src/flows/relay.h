#pragma once

#include "base/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace medlarway
{

/// A caller's datagram on its way from the host that got it to the host that holds its flow.
struct RelayedDatagram {
    Endpoint caller;
    Endpoint service;
    std::uint8_t hops = 0; ///< relays so far, this one included
    std::string payload;
};

/// The largest payload that is relayed, in bytes: an Ethernet frame less the headers of IP, UDP and the
/// relay. A larger one is refused as ErrorKind::DatagramTooLarge, since relays never fragment.
inline constexpr std::size_t kRelayPayloadBytes = 1400;

/// The most relays of one datagram. A host that would make one more drops it as ErrorKind::HopLimit.
inline constexpr std::uint8_t kRelayHops = 4;

/// True where the payload may be relayed.
constexpr bool fitsRelay(std::size_t payloadBytes)
{
    return payloadBytes <= kRelayPayloadBytes;
}

} // namespace medlarway
