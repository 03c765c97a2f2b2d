#include "standin/platform/packet.h"

#include <array>
#include <boost/endian/conversion.hpp>

namespace medlarway
{

namespace
{

namespace endian = boost::endian;

constexpr std::size_t kHeaderBytes = 36;

} // namespace

std::string encodeStandinPacket(const StandinPacket &packet)
{
    std::array<std::uint8_t, kHeaderBytes> header{};
    endian::store_big_u32(&header[0], packet.echo);
    endian::store_big_u16(&header[8], packet.source.port);
    endian::store_big_u32(&header[10], packet.destination.address);
    endian::store_big_u32(&header[14], packet.source.address);
    endian::store_big_u16(&header[18], packet.destination.port);
    endian::store_big_u32(&header[20], packet.sequence);
    endian::store_big_u32(&header[24], packet.acknowledged);
    endian::store_big_u16(&header[28], static_cast<std::uint16_t>(packet.data.size()));
    header[30] = packet.flags;
    return std::string(header.begin(), header.end()) + packet.data;
}

std::optional<StandinPacket> decodeStandinPacket(const std::uint8_t *bytes, std::size_t size)
{
    if (size < kHeaderBytes) {
        return std::nullopt;
    }
    StandinPacket packet;
    packet.echo = endian::load_big_u32(bytes);
    packet.source = {endian::load_big_u32(bytes + 14), endian::load_big_u16(bytes + 8)};
    packet.destination = {endian::load_big_u32(bytes + 10), endian::load_big_u16(bytes + 18)};
    packet.sequence = endian::load_big_u32(bytes + 20);
    packet.acknowledged = endian::load_big_u32(bytes + 24);
    packet.flags = bytes[30];
    packet.data.assign(bytes + kHeaderBytes, bytes + size);
    return packet;
}

} // namespace medlarway
