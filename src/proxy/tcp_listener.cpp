#include "proxy/tcp_listener.h"

#include "base/log.h"

#include <array>
#include <boost/asio/error.hpp>
#include <linux/filter.h>
#include <sys/socket.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr int kBacklog = 4096;
constexpr auto kRetryDelay = std::chrono::milliseconds{50};

// Attaches a packet filter that drops opening packets (SYN without ACK) and passes everything else. Accepted connections inherit it, which
// is harmless, as they get no such packets. On failure, callers that connect while the listener closes may be reset.
void dropNewConnections(int socket)
{
    constexpr std::uint32_t kFlagsOffset = 13; // of the TCP header
    constexpr std::uint32_t kSyn = 0x02;
    constexpr std::uint32_t kAck = 0x10;
    constexpr std::uint32_t kDrop = 0;
    constexpr std::uint32_t kPass = 0xffffffff;
    std::array<sock_filter, 5> code{{
        BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset),
        BPF_STMT(BPF_ALU | BPF_AND | BPF_K, kSyn | kAck),
        BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, kSyn, 0, 1),
        BPF_STMT(BPF_RET | BPF_K, kDrop),
        BPF_STMT(BPF_RET | BPF_K, kPass),
    }};
    const sock_fprog filter{static_cast<unsigned short>(code.size()), code.data()};
    if (setsockopt(socket, SOL_SOCKET, SO_ATTACH_FILTER, &filter, sizeof(filter)) != 0) {
        logEvent(Event::InternalFault, {field("detail", "a closing listener can't drop opening packets")});
    }
}

using ReusePort = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

} // namespace

TcpListener::TcpListener(asio::io_context &context, AcceptHandler handler)
    : acceptor_(context)
    , timer_(context)
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
    // A connection that was accepted just before the socket was closed is served like the others.
    if (!error) {
        prepareSocket(socket);
        handler_(std::move(socket));
        if (acceptor_.is_open()) {
            acceptNext();
        }
        return;
    }
    if (!acceptor_.is_open() || closing_) {
        return;
    }
    timer_.expires_after(kRetryDelay);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &cancelled) {
        if (!cancelled && self->acceptor_.is_open() && !self->closing_) {
            self->acceptNext();
        }
    });
}

bool TcpListener::isOpen() const
{
    return acceptor_.is_open();
}

// Closing the socket resets every connection in its backlog, and those whose last handshake packet is still on the way. No new one can
// start once opening packets are dropped; their callers send them again a second later and are refused then.
void TcpListener::close()
{
    if (!acceptor_.is_open() || std::exchange(closing_, true)) {
        return;
    }
    dropNewConnections(acceptor_.native_handle());
    acceptPending();
    timer_.expires_after(kHandshakeTime);
    timer_.async_wait([self = shared_from_this()](const ErrorCode &) {
        self->acceptPending();
        self->abort();
    });
}

void TcpListener::abort()
{
    ErrorCode ignored;
    acceptor_.close(ignored);
    timer_.cancel();
}

void TcpListener::acceptPending()
{
    while (acceptor_.is_open()) {
        ErrorCode error;
        tcp::socket socket(acceptor_.get_executor());
        acceptor_.accept(socket, error);
        if (error) {
            break;
        }
        prepareSocket(socket);
        handler_(std::move(socket));
    }
}

} // namespace medlarway
