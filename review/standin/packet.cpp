#include "packet.h"

namespace review
{

namespace
{

constexpr std::size_t kHeaderBytes = 36;
constexpr std::uint32_t kSumKey = 0x5bd1e995;

void put(std::string &bytes, std::size_t at, std::uint32_t value, int width)
{
    for (int row = 0; row < width; ++row) {
        bytes[at + static_cast<std::size_t>(row)] = static_cast<char>(value >> static_cast<unsigned>(8 * (width - 1 - row)));
    }
}

std::uint32_t get(const std::string &bytes, std::size_t at, int width)
{
    std::uint32_t value = 0;
    for (int row = 0; row < width; ++row) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[at + static_cast<std::size_t>(row)]);
    }
    return value;
}

std::string encode(const Packet &packet)
{
    std::string bytes(kHeaderBytes, '\0');
    put(bytes, 0, packet.echo, 4);
    put(bytes, 4, packet.sum, 4);
    put(bytes, 8, packet.source.port, 2);
    put(bytes, 10, packet.destination.ip, 4);
    put(bytes, 14, packet.source.ip, 4);
    put(bytes, 18, packet.destination.port, 2);
    put(bytes, 20, packet.sequence, 4);
    put(bytes, 24, packet.acknowledged, 4);
    put(bytes, 28, static_cast<std::uint32_t>(packet.data.size()), 2);
    put(bytes, 30, packet.flags, 1);
    return bytes + packet.data;
}

// FNV-1a over the packet without echo, from a secret start.
std::uint32_t sumOf(Packet packet)
{
    packet.echo = 0;
    packet.sum = 0;
    std::uint32_t sum = kSumKey;
    for (const char byte : encode(packet)) {
        sum = (sum ^ static_cast<unsigned char>(byte)) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

} // namespace

std::string encodeSigned(Packet packet)
{
    packet.sum = sumOf(packet);
    return encode(packet);
}

std::optional<Packet> decode(const std::string &bytes)
{
    if (bytes.size() < kHeaderBytes || bytes.size() != kHeaderBytes + get(bytes, 28, 2)) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = get(bytes, 0, 4);
    packet.sum = get(bytes, 4, 4);
    packet.source = {get(bytes, 14, 4), static_cast<std::uint16_t>(get(bytes, 8, 2))};
    packet.destination = {get(bytes, 10, 4), static_cast<std::uint16_t>(get(bytes, 18, 2))};
    packet.sequence = get(bytes, 20, 4);
    packet.acknowledged = get(bytes, 24, 4);
    packet.flags = static_cast<std::uint8_t>(bytes[30]) & 127U;
    packet.data = bytes.substr(kHeaderBytes);
    return packet;
}

bool sumMatches(const Packet &packet)
{
    return packet.sum == sumOf(packet);
}

bool isSystemReset(const Packet &packet)
{
    return packet.has(Packet::kRst) && packet.data.empty() && packet.sum == 0;
}

} // namespace review
