#pragma once

#include "base/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// Flags of a packet.
inline constexpr std::uint8_t kSynFlag = 2;
inline constexpr std::uint8_t kAckFlag = 16;
inline constexpr std::uint8_t kRstFlag = 32;
inline constexpr std::uint8_t kFinFlag = 64;

/// A packet of a client or an upstream. Encoded and decoded independently of platform/packet_layout, so that tests detect an error in
/// either.
struct StandinPacket {
    std::uint32_t echo = 0;
    Endpoint source;
    Endpoint destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< in a SYN: the number of earlier copies of it
    std::uint8_t flags = 0;
    std::string data;
};

std::string encodeStandinPacket(const StandinPacket &packet);

/// nullopt if the datagram is shorter than a header.
std::optional<StandinPacket> decodeStandinPacket(const std::uint8_t *bytes, std::size_t size);

} // namespace medlarway
