#pragma once

#include "proxy/net.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace medlarway
{

/// A listening TCP socket that several hosts of one machine may share.
class TcpListener : public std::enable_shared_from_this<TcpListener>
{
public:
    using Accepted = std::function<void(tcp::socket)>;

    TcpListener(asio::io_context &context, Accepted accepted);

    /// Listens; the error where it can't.
    ErrorCode listen(const Endpoint &address);

    /// Takes what callers have connected already, then closes.
    void close();

    /// Where it listens, the port chosen by the system included.
    Endpoint address() const;

private:
    void acceptNext();
    void onAccepted(const ErrorCode &error, tcp::socket socket);

    tcp::acceptor acceptor_;
    asio::steady_timer pause_;
    Accepted accepted_;
};

} // namespace medlarway
