#pragma once

#include "base/host.h"

#include <array>
#include <cstddef>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace medlarway
{

/// Largest sealed datagram that a host sends to another; fits an Ethernet frame with room for tunnels.
inline constexpr std::size_t kMaxRelayBytes = 1472;

/// Carries sealed datagrams between hosts over UDP, on the peers' port. Runs on the context's thread.
class RelaySocket
{
public:
    using Receiver = std::function<void(std::string_view sealed)>;

    /// Binds the endpoint and starts to receive. Throws Error(AddressTaken).
    RelaySocket(boost::asio::io_context &context, const Endpoint &listen, Receiver receiver);

    /// Sends without waiting. False where the datagram is too large or the system can't take it now.
    bool send(HostId to, std::string_view sealed);

private:
    void receiveNext();

    Receiver receiver_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, kMaxRelayBytes + 1> buffer_{};
};

} // namespace medlarway
