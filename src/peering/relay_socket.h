#pragma once

#include "base/host.h"

#include <array>
#include <cstddef>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace medlarway
{

/// Maximum size of a sealed datagram in bytes; fits an Ethernet frame, with room for tunnel headers.
inline constexpr std::size_t kMaxRelayBytes = 1472;

/// Transports sealed datagrams between hosts over UDP, on the peer port. Runs on the io_context's thread.
class RelaySocket
{
public:
    using Handler = std::function<void(std::string_view sealed)>;

    /// Binds the endpoint. Throws Error(AddressTaken).
    RelaySocket(boost::asio::io_context &context, const Endpoint &listen, Handler handler);

    /// Starts to receive; calls the handler for each datagram.
    void start();

    /// Sends without blocking; returns false if the datagram is too large or the system doesn't accept it.
    bool send(HostId to, std::string_view sealed);

private:
    void receiveNext();
    void retryReceive(const boost::system::error_code &failure);

    Handler handler_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::steady_timer pause_; ///< before receiving again after an error
    boost::asio::ip::udp::endpoint sender_;
    std::array<char, kMaxRelayBytes + 1> buffer_{};
};

} // namespace medlarway
