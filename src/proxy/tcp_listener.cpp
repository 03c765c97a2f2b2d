#include "proxy/tcp_listener.h"

#include <boost/asio/error.hpp>
#include <chrono>
#include <sys/socket.h>

namespace medlarway
{

namespace
{

constexpr int kBacklog = 4096;
constexpr auto kRetryDelay = std::chrono::milliseconds{50};

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

TcpListener::TcpListener(asio::io_context &context, AcceptHandler handler)
    : acceptor_(context)
    , retryTimer_(context)
    , handler_(std::move(handler))
{
}

ErrorCode TcpListener::listen(const Endpoint &address)
{
    ErrorCode error;
    acceptor_.open(tcp::v4(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.set_option(ReusePort(true), error);
    }
    if (!error) {
        acceptor_.bind(tcpEndpointOf(address), error);
    }
    if (!error) {
        acceptor_.listen(kBacklog, error);
    }
    if (!error) {
        acceptor_.non_blocking(true, error);
    }
    if (error) {
        ErrorCode ignored;
        acceptor_.close(ignored);
        return error;
    }
    acceptNext();
    return error;
}

Endpoint TcpListener::address() const
{
    ErrorCode error;
    const auto local = acceptor_.local_endpoint(error);
    return error ? Endpoint{} : endpointFrom(local);
}

void TcpListener::acceptNext()
{
    acceptor_.async_accept(
        [self = shared_from_this()](const ErrorCode &error, tcp::socket socket) { self->onAccepted(error, std::move(socket)); });
}

// A lack of file descriptors or memory is temporary; retrying after a delay avoids a busy loop.
void TcpListener::onAccepted(const ErrorCode &error, tcp::socket socket)
{
    // A connection that was accepted just before close() is served like those that close() accepts.
    if (!error) {
        prepareSocket(socket);
        handler_(std::move(socket));
        if (acceptor_.is_open()) {
            acceptNext();
        }
        return;
    }
    if (!acceptor_.is_open()) {
        return;
    }
    retryTimer_.expires_after(kRetryDelay);
    retryTimer_.async_wait([self = shared_from_this()](const ErrorCode &cancelled) {
        if (!cancelled && self->acceptor_.is_open()) {
            self->acceptNext();
        }
    });
}

// Closing the socket would reset connections that are established but not accepted yet, so they are
// accepted first. The minimal backlog lets hardly any new ones be established in the meantime.
void TcpListener::close()
{
    if (!acceptor_.is_open()) {
        return;
    }
    ErrorCode error;
    acceptor_.cancel(error);
    acceptor_.listen(0, error);
    while (true) {
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error) {
            break;
        }
        prepareSocket(socket);
        handler_(std::move(socket));
    }
    acceptor_.close(error);
    retryTimer_.cancel();
}

} // namespace medlarway
