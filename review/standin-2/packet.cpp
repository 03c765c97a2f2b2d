#include "packet.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace lab
{

namespace
{

constexpr std::size_t kHeaderBytes = 36;

void append(std::string &bytes, std::uint32_t value, int count)
{
    for (int shift = 8 * (count - 1); shift >= 0; shift -= 8) {
        bytes += static_cast<char>((value >> static_cast<unsigned>(shift)) & 255U);
    }
}

std::uint32_t numberAt(const std::string &bytes, std::size_t at, std::size_t count)
{
    std::uint32_t value = 0;
    for (std::size_t i = 0; i < count; ++i) {
        value = (value << 8U) | static_cast<unsigned char>(bytes[at + i]);
    }
    return value;
}

// A sum over all fields but the echo, with a key that only the ends know.
std::uint32_t sumOf(const Packet &packet)
{
    std::string bytes;
    append(bytes, packet.source.ip, 4);
    append(bytes, packet.source.port, 2);
    append(bytes, packet.destination.ip, 4);
    append(bytes, packet.destination.port, 2);
    append(bytes, packet.sequence, 4);
    append(bytes, packet.acknowledged, 4);
    append(bytes, packet.flags, 1);
    std::uint32_t sum = 0x5bd1e995;
    for (const char byte : bytes + packet.data) {
        sum = (sum ^ static_cast<unsigned char>(byte)) * 16777619U;
    }
    return sum == 0 ? 1 : sum;
}

} // namespace

std::string encode(Packet packet)
{
    std::string bytes;
    append(bytes, packet.echo, 4);
    append(bytes, sumOf(packet), 4);
    append(bytes, packet.source.port, 2);
    append(bytes, packet.destination.ip, 4);
    append(bytes, packet.source.ip, 4);
    append(bytes, packet.destination.port, 2);
    append(bytes, packet.sequence, 4);
    append(bytes, packet.acknowledged, 4);
    append(bytes, static_cast<std::uint32_t>(packet.data.size()), 2);
    append(bytes, packet.flags, 1);
    bytes.append(5, '\0');
    return bytes + packet.data;
}

std::optional<Packet> decode(const std::string &datagram)
{
    if (datagram.size() < kHeaderBytes || datagram.size() != kHeaderBytes + numberAt(datagram, 28, 2)) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = numberAt(datagram, 0, 4);
    packet.sum = numberAt(datagram, 4, 4);
    packet.source = {numberAt(datagram, 14, 4), static_cast<std::uint16_t>(numberAt(datagram, 8, 2))};
    packet.destination = {numberAt(datagram, 10, 4), static_cast<std::uint16_t>(numberAt(datagram, 18, 2))};
    packet.sequence = numberAt(datagram, 20, 4);
    packet.acknowledged = numberAt(datagram, 24, 4);
    packet.flags = static_cast<std::uint8_t>(datagram[30]);
    packet.data = datagram.substr(kHeaderBytes);
    return packet;
}

bool hasValidSum(const Packet &packet)
{
    return packet.sum == sumOf(packet);
}

std::optional<Received> receive(int socket)
{
    char buffer[2048];
    sockaddr_in from{};
    socklen_t length = sizeof(from);
    const auto size = ::recvfrom(socket, buffer, sizeof(buffer), 0, reinterpret_cast<sockaddr *>(&from), &length);
    if (size < 0) {
        return std::nullopt;
    }
    return Received{std::string(buffer, static_cast<std::size_t>(size)), {ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)}};
}

void sendTo(int socket, const Address &to, const std::string &bytes)
{
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(to.ip);
    name.sin_port = htons(to.port);
    ::sendto(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<const sockaddr *>(&name), sizeof(name));
}

} // namespace lab
