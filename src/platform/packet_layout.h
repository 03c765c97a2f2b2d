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

/// Size of a packet's header.
inline constexpr std::size_t kPacketHeaderBytes = 36;

/// Maximum size of the data after the header.
inline constexpr std::size_t kMaxPacketDataBytes = 1200;

/// Size of the prefix of packets sent to an upstream, which identifies the upstream.
inline constexpr std::size_t kRecipientBytes = 8;

/// Maximum size of a client's datagram.
inline constexpr std::size_t kMaxPacketBytes = kPacketHeaderBytes + kMaxPacketDataBytes;

using PacketHeader = std::array<std::uint8_t, kPacketHeaderBytes>;

/// Decodes a client's datagram; nullopt if its size does not match its header, it is too large, or it is a SYN-ACK, which only upstreams
/// send.
std::optional<FlowPacket> decodePacket(std::span<const std::uint8_t> datagram);

/// Writes the token into the packet. The upstream echoes it to the client, and the client in its next packets. The checksum does not cover
/// it.
void writeToken(std::span<std::uint8_t> datagram, FlowToken token);

/// The prefix that identifies the upstream as the recipient.
std::array<std::uint8_t, kRecipientBytes> recipientPrefix(const UpstreamEntry &upstream);

/// The reset to send in response to a client's packet.
PacketHeader resetForPacket(const FlowPacket &packet);

/// The reset of an open flow. The client accepts it only if its sequence number is near the last one that the client acknowledged.
PacketHeader resetForFlow(const FlowId &flow, std::uint32_t acknowledged);

} // namespace medlarway
