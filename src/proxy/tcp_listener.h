#pragma once

#include "proxy/net.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace medlarway
{

/// A listening TCP socket. Several hosts on one machine may share its address (SO_REUSEPORT).
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    using AcceptHandler = std::function<void(tcp::socket)>;

    TcpListener(asio::io_context &context, AcceptHandler handler);

    /// Starts listening; returns the error if that fails.
    ErrorCode listen(const Endpoint &address);

    /// Accepts the connections that are already established, then closes the socket.
    void close();

    /// The local endpoint, including a port chosen by the system; zero if not listening.
    Endpoint address() const;

private:
    void acceptNext();
    void onAccepted(const ErrorCode &error, tcp::socket socket);

    tcp::acceptor acceptor_;
    asio::steady_timer retryTimer_;
    AcceptHandler handler_;
};

} // namespace medlarway
