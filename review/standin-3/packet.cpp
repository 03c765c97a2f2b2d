#include "packet.h"

#include <arpa/inet.h>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace standin
{

namespace
{

constexpr std::size_t kHeadBytes = 36;
constexpr std::size_t kSumAt = 4;
constexpr std::size_t kSourcePortAt = 8;

void append(std::string &bytes, std::uint64_t value, unsigned count)
{
    for (unsigned left = count; left > 0; --left) {
        bytes += static_cast<char>(value >> (8 * (left - 1)));
    }
}

std::uint32_t numberAt(std::string_view bytes, std::size_t at, std::size_t count)
{
    std::uint32_t value = 0;
    for (const char byte : bytes.substr(at, count)) {
        value = (value << 8U) | static_cast<std::uint8_t>(byte);
    }
    return value;
}

// Over everything from the source port on but the padding, which the system may not change.
std::uint32_t sumOf(std::string_view bytes)
{
    std::uint32_t hash = 0x9e3779b9;
    const auto add = [&hash](std::string_view part) {
        for (const char byte : part) {
            hash = (hash ^ static_cast<std::uint8_t>(byte)) * 0x01000193;
        }
    };
    add(bytes.substr(kSourcePortAt, 31 - kSourcePortAt));
    add(bytes.substr(kHeadBytes));
    return hash == 0 ? 1 : hash;
}

} // namespace

std::string toText(const Address &address)
{
    in_addr ip{htonl(address.ip)};
    return std::string(inet_ntoa(ip)) + ":" + std::to_string(address.port);
}

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

std::string encode(const Packet &packet, bool withSum)
{
    std::string bytes;
    append(bytes, packet.echo, 4);
    append(bytes, 0, 4);
    append(bytes, packet.source.port, 2);
    append(bytes, packet.destination.ip, 4);
    append(bytes, packet.source.ip, 4);
    append(bytes, packet.destination.port, 2);
    append(bytes, packet.sequence, 4);
    append(bytes, packet.acknowledged, 4);
    append(bytes, packet.data.size(), 2);
    append(bytes, packet.flags, 1);
    append(bytes, 0, 5);
    bytes += packet.data;
    if (withSum) {
        std::string sum;
        append(sum, sumOf(bytes), 4);
        bytes.replace(kSumAt, 4, sum);
    }
    return bytes;
}

std::optional<Packet> decode(std::string_view bytes)
{
    if (bytes.size() < kHeadBytes || bytes.size() != kHeadBytes + numberAt(bytes, 28, 2)) {
        return std::nullopt;
    }
    Packet packet;
    packet.echo = numberAt(bytes, 0, 4);
    packet.source = {numberAt(bytes, 14, 4), static_cast<std::uint16_t>(numberAt(bytes, kSourcePortAt, 2))};
    packet.destination = {numberAt(bytes, 10, 4), static_cast<std::uint16_t>(numberAt(bytes, 18, 2))};
    packet.sequence = numberAt(bytes, 20, 4);
    packet.acknowledged = numberAt(bytes, 24, 4);
    packet.flags = static_cast<std::uint8_t>(bytes[30]);
    packet.data = bytes.substr(kHeadBytes);
    const auto sum = numberAt(bytes, kSumAt, 4);
    const bool isOwnReset = sum == 0 && packet.flags == kRst && packet.data.empty();
    return isOwnReset || sum == sumOf(bytes) ? std::optional(packet) : std::nullopt;
}

int openDatagramSocket(const Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto bound = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0) {
        close(descriptor);
        return -1;
    }
    const int bytes = 4 << 20;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    return descriptor;
}

int openListener(const Address &address)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int yes = 1;
    setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    const auto bound = toSocketAddress(address);
    if (bind(descriptor, reinterpret_cast<const sockaddr *>(&bound), sizeof(bound)) != 0 || listen(descriptor, 128) != 0) {
        close(descriptor);
        return -1;
    }
    return descriptor;
}

std::uint16_t freePorts(std::uint16_t count)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const auto first = static_cast<std::uint16_t>(20000 + (getpid() + attempt) * 16 % 12000);
        bool free = true;
        for (std::uint16_t offset = 0; offset < count && free; ++offset) {
            const Address address{0, static_cast<std::uint16_t>(first + offset)};
            const int datagrams = openDatagramSocket(address);
            const int listener = openListener(address);
            free = datagrams >= 0 && listener >= 0;
            close(datagrams);
            close(listener);
        }
        if (free) {
            return first;
        }
    }
    return 0;
}

} // namespace standin
