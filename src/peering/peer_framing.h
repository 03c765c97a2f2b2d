#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace medlarway
{

/// The framing of messages on a TCP connection between hosts: that of the scalability protocols' push and pull sockets, which earlier
/// releases speak. Each end sends a greeting with its role, then the sending end writes messages, each after its length.

/// The role of one end of a connection.
enum class PeerRole : std::uint16_t {
    Push = 0x50, ///< the end that sends messages
    Pull = 0x51, ///< the end that receives them
};

inline constexpr std::size_t kGreetingBytes = 8;
inline constexpr std::size_t kLengthBytes = 8;

using Greeting = std::array<char, kGreetingBytes>;
using MessageLength = std::array<char, kLengthBytes>;

/// The greeting of an end.
Greeting greetingOf(PeerRole role);

/// Encodes a message's length in bytes, big-endian.
MessageLength encodeLength(std::uint64_t length);

/// The inverse of encodeLength().
std::uint64_t decodeLength(const MessageLength &bytes);

} // namespace medlarway
