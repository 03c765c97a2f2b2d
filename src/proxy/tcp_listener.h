#pragma once

#include "proxy/net.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
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

    /// Ends listening without cutting off a caller: new connections are no longer answered, those that are established or being established
    /// are accepted, and after kHandshakeTime the socket is closed, so that callers are refused.
    void close();

    /// Closes the socket at once; callers whose connection was not accepted yet are reset.
    void abort();

    /// Whether the socket is open; false once close() has completed.
    bool isOpen() const;

    /// The local endpoint, including a port chosen by the system; zero if not listening.
    Endpoint address() const;

private:
    void acceptNext();
    void onAccepted(const ErrorCode &error, tcp::socket socket);
    void acceptPending();

    tcp::acceptor acceptor_;
    asio::steady_timer timer_; ///< ends the delay after a failed accept, or the handshake time of close()
    bool closing_ = false;
    AcceptHandler handler_;
};

/// How long a closing listener waits for callers that were answered but have not confirmed yet: their round-trip time and a margin.
inline constexpr std::chrono::milliseconds kHandshakeTime{100};

} // namespace medlarway
