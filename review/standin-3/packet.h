#pragma once

#include <cstdint>
#include <netinet/in.h>
#include <optional>
#include <string>
#include <string_view>

namespace standin
{

inline constexpr std::uint8_t kSyn = 2;
inline constexpr std::uint8_t kAck = 16;
inline constexpr std::uint8_t kRst = 32;
inline constexpr std::uint8_t kFin = 64;

/// An IPv4 address and port in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

std::string toText(const Address &address);
sockaddr_in toSocketAddress(const Address &address);

/// The client's and the route's end of a flow.
struct FlowId {
    Address client;
    Address route;

    friend auto operator<=>(const FlowId &, const FlowId &) = default;
};

/// A packet of the platform's protocol, as PROTOCOL.md describes it.
struct Packet {
    std::uint32_t echo = 0;
    Address source;
    Address destination;
    std::uint32_t sequence = 0;
    std::uint32_t acknowledged = 0; ///< in a SYN: the number of earlier copies
    std::uint8_t flags = 0;
    std::string data;
};

/// The packet with a sum that the stand-ins check; without a sum where withSum is false.
std::string encode(const Packet &packet, bool withSum = true);

/// nullopt if the bytes are no packet, or its sum is wrong. A reset of the system's own has sum 0.
std::optional<Packet> decode(std::string_view bytes);

/// Whether a is after b, modulo 2^32.
inline bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

/// A nonblocking UDP socket, or a TCP listener, at the address; -1 if it is taken.
int openDatagramSocket(const Address &address);
int openListener(const Address &address);

/// The first of some ports in a row that are free at all addresses, for datagrams and connections; 0 if none were found.
std::uint16_t freePorts(std::uint16_t count);

} // namespace standin
