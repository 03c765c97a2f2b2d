#include "platform/packet_layout.h"

#include <boost/endian/conversion.hpp>

namespace medlarway
{

namespace
{

// Offsets of the fields in bytes. All fields are big-endian.
constexpr std::size_t kTokenAt = 0; // the field "echo": each end sends back the last value that it received
constexpr std::size_t kSourcePortAt = 8;
constexpr std::size_t kDestinationAt = 10;
constexpr std::size_t kSourceAt = 14;
constexpr std::size_t kDestinationPortAt = 18;
constexpr std::size_t kSequenceAt = 20;
constexpr std::size_t kAcknowledgedAt = 24; // in a SYN: the number of earlier copies of the SYN
constexpr std::size_t kDataBytesAt = 28;
constexpr std::size_t kFlagsAt = 30;

constexpr std::uint8_t kFlagSyn = 2;
constexpr std::uint8_t kFlagAck = 16;
constexpr std::uint8_t kFlagRst = 32;
constexpr std::uint8_t kFlagFin = 64;

std::uint16_t read16(std::span<const std::uint8_t> bytes, std::size_t at)
{
    return boost::endian::load_big_u16(bytes.data() + at);
}

std::uint32_t read32(std::span<const std::uint8_t> bytes, std::size_t at)
{
    return boost::endian::load_big_u32(bytes.data() + at);
}

} // namespace

std::optional<FlowPacket> decodePacket(std::span<const std::uint8_t> datagram)
{
    if (datagram.size() < kPacketHeaderBytes || datagram.size() > kMaxPacketBytes) {
        return std::nullopt;
    }
    FlowPacket packet;
    packet.dataBytes = read16(datagram, kDataBytesAt);
    if (datagram.size() != kPacketHeaderBytes + packet.dataBytes) {
        return std::nullopt;
    }
    const auto flags = datagram[kFlagsAt];
    // Only an upstream sends a SYN-ACK. An upstream that received one would treat it as forged.
    if ((flags & kFlagSyn) != 0 && (flags & kFlagAck) != 0) {
        return std::nullopt;
    }
    packet.flow.client = {read32(datagram, kSourceAt), read16(datagram, kSourcePortAt)};
    packet.flow.destination = {read32(datagram, kDestinationAt), read16(datagram, kDestinationPortAt)};
    packet.token = read32(datagram, kTokenAt);
    packet.sequence = read32(datagram, kSequenceAt);
    packet.acknowledged = read32(datagram, kAcknowledgedAt);
    packet.syn = (flags & kFlagSyn) != 0;
    // The client controls the field: a number that no client sends is not believed.
    packet.earlierSyns = packet.syn && packet.acknowledged < kMaxSyns ? static_cast<std::uint8_t>(packet.acknowledged) : 0;
    packet.fin = (flags & kFlagFin) != 0;
    packet.rst = (flags & kFlagRst) != 0;
    return packet;
}

void writeToken(std::span<std::uint8_t> datagram, FlowToken token)
{
    boost::endian::store_big_u32(datagram.data() + kTokenAt, token);
}

std::array<std::uint8_t, kRecipientBytes> recipientPrefix(const UpstreamEntry &upstream)
{
    std::array<std::uint8_t, kRecipientBytes> prefix{};
    boost::endian::store_big_u64(prefix.data(), upstream.number);
    return prefix;
}

PacketHeader resetForPacket(const FlowPacket &packet)
{
    return resetForFlow(packet.flow, packet.syn ? 0 : packet.acknowledged);
}

// The source is the route's address. The checksum stays 0.
PacketHeader resetForFlow(const FlowId &flow, std::uint32_t acknowledged)
{
    PacketHeader header{};
    boost::endian::store_big_u16(header.data() + kSourcePortAt, flow.destination.port);
    boost::endian::store_big_u32(header.data() + kSourceAt, flow.destination.address);
    boost::endian::store_big_u32(header.data() + kDestinationAt, flow.client.address);
    boost::endian::store_big_u16(header.data() + kDestinationPortAt, flow.client.port);
    boost::endian::store_big_u32(header.data() + kSequenceAt, acknowledged);
    header[kFlagsAt] = kFlagRst;
    return header;
}

} // namespace medlarway
