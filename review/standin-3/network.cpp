#include "network.h"

#include <array>
#include <sys/socket.h>

namespace standin
{

void Network::send(int socket, const Address &to, std::string datagram, Span delay)
{
    if (unit() < lost_) {
        return;
    }
    loop_.after(delay, [socket, to, datagram = std::move(datagram)] {
        const auto address = toSocketAddress(to);
        sendto(socket, datagram.data(), datagram.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
    });
}

void receiveAll(int socket, const std::function<void(std::string_view datagram)> &take)
{
    std::array<char, 2048> bytes{};
    for (auto size = recv(socket, bytes.data(), bytes.size(), 0); size >= 0; size = recv(socket, bytes.data(), bytes.size(), 0)) {
        take({bytes.data(), static_cast<std::size_t>(size)});
    }
}

} // namespace standin
