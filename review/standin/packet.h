#pragma once

#include "loop.h"

#include <optional>
#include <string>

namespace review
{

/// A packet of the platform. The sum covers all fields but echo, pad and BOUNCED; only clients and endpoints know its key.
struct Packet {
    static constexpr std::uint8_t kSyn = 2;
    static constexpr std::uint8_t kAck = 16;
    static constexpr std::uint8_t kFin = 64;
    static constexpr std::uint8_t kRst = 32;

    std::uint32_t echo = 0;
    std::uint32_t sum = 0;
    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0;
    std::uint8_t flags = 0;
    std::string data;
    Address sentFrom; ///< sender of the datagram; no part of the packet

    bool has(std::uint8_t flag) const
    {
        return (flags & flag) != 0;
    }
};

/// The bytes of a packet with its sum.
std::string encodeSigned(Packet packet);

/// nullopt if the bytes are no packet.
std::optional<Packet> decode(const std::string &bytes);

/// Whether a client or an endpoint wrote the packet like this.
bool sumMatches(const Packet &packet);

/// Whether the packet is a reset of the system's own: an RST without data whose sum is 0.
bool isSystemReset(const Packet &packet);

} // namespace review
