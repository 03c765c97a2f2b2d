#pragma once

#include "loop.h"

#include <optional>
#include <string>

namespace lab
{

inline constexpr std::uint8_t kSyn = 2;
inline constexpr std::uint8_t kAck = 16;
inline constexpr std::uint8_t kRst = 32;
inline constexpr std::uint8_t kFin = 64;

/// A packet as the platform's page on packets lays it out.
struct Packet {
    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< in a SYN: the number of earlier copies
    std::uint8_t flags = 0;
    std::string data;
};

/// Encodes the packet with the sum of its ends' key.
std::string encode(Packet packet);

/// nullopt if the datagram is no packet.
std::optional<Packet> decode(const std::string &datagram);

/// Whether the sum is that of an end.
bool hasValidSum(const Packet &packet);

/// Whether a sequence number is after another one.
inline bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

/// A datagram and its sender; nullopt if none is waiting.
struct Received {
    std::string bytes;
    Address from;
};
std::optional<Received> receive(int socket);

void sendTo(int socket, const Address &to, const std::string &bytes);

} // namespace lab
