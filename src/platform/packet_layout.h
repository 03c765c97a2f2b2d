#pragma once

#include "steering/directory.h"
#include "steering/flow_packet.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace medlarway
{

/// Bytes of a packet's header.
inline constexpr std::size_t kPacketHeaderBytes = 36;

/// The most bytes of data behind the header.
inline constexpr std::size_t kPacketDataBytes = 1200;

/// Bytes in front of a packet that is sent to an upstream: which one is meant.
inline constexpr std::size_t kRecipientBytes = 8;

/// The largest datagram of a client.
inline constexpr std::size_t kLongestPacketBytes = kPacketHeaderBytes + kPacketDataBytes;

using PacketHeader = std::array<std::uint8_t, kPacketHeaderBytes>;

/// Decodes a client's datagram; nullopt where it is shorter than its header says, longer, or not a client's.
std::optional<FlowPacket> decodePacket(std::span<const std::uint8_t> datagram);

/// Writes the token that the upstream and then the client give back. The checksum does not cover it.
void writeToken(std::span<std::uint8_t> datagram, FlowToken token);

/// The bytes that say which upstream is meant.
std::array<std::uint8_t, kRecipientBytes> recipientPrefix(const UpstreamEntry &upstream);

/// The reset that answers a client's packet.
PacketHeader resetFor(const FlowPacket &packet);

/// The reset of an open flow; the client takes it near what it acknowledged last.
PacketHeader resetOf(const FlowId &flow, std::uint32_t acknowledged);

} // namespace medlarway
