#include "peering/control_socket.h"

#include "base/completion.h"
#include "base/contained.h"
#include "base/errors.h"
#include "peering/codec.h"
#include "peering/envelope.h"
#include "peering/peer_framing.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <csignal>
#include <netinet/tcp.h>
#include <pthread.h>
#include <string>
#include <sys/socket.h>
#include <tuple>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr std::size_t kMaxSealedBytes = kMaxMessageBytes + kEnvelopeBytes;

// Accepting may fail repeatedly, for example without free file descriptors; the delay avoids a busy loop.
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// A host that lost power sends no end of its connection. After this many seconds without a byte it is probed, and given up after as many
// more.
constexpr int kKeepAliveSeconds = 15;
constexpr int kKeepAliveProbes = 3;

void enableKeepAlive(tcp::socket &socket)
{
    using IdleOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using IntervalOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using CountOption = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    ErrorCode ignored;
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(IdleOption(kKeepAliveSeconds), ignored);
    socket.set_option(IntervalOption(kKeepAliveSeconds / kKeepAliveProbes), ignored);
    socket.set_option(CountOption(kKeepAliveProbes), ignored);
}

// Signals are handled by the main thread.
void blockSignals()
{
    sigset_t all;
    sigfillset(&all);
    pthread_sigmask(SIG_BLOCK, &all, nullptr);
}

} // namespace

ControlSocket::ControlSocket(const Endpoint &endpoint, Handler handler)
    : handler_(std::move(handler))
    , acceptor_(context_)
{
    listen(endpoint);
    spawnDuty(context_, "accepting peers", [this] { return acceptConnections(); });
    thread_ = std::thread([this] {
        blockSignals();
        runContained(context_, "peers' connections");
    });
}

ControlSocket::~ControlSocket()
{
    context_.stop();
    thread_.join();
}

void ControlSocket::listen(const Endpoint &endpoint)
{
    const tcp::endpoint address(asio::ip::address_v4(endpoint.address), endpoint.port);
    ErrorCode error;
    acceptor_.open(address.protocol(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(address, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        throw Error(ErrorKind::AddressTaken, "peers' port " + endpointToString(endpoint) + ": " + error.message());
    }
}

asio::awaitable<void> ControlSocket::acceptConnections()
{
    asio::steady_timer pause(context_);
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(kWaitForCompletion);
        if (error) {
            pause.expires_after(kAcceptRetryDelay);
            co_await pause.async_wait(kWaitForCompletion);
        } else if (incoming_ < kMaxIncomingConnections) {
            spawnContained(context_, "connection of a peer", receive(std::move(socket)));
        }
    }
}

asio::awaitable<void> ControlSocket::receive(tcp::socket socket)
{
    ++incoming_;
    co_await contained("connection of a peer", receiveMessages(std::move(socket)));
    --incoming_;
}

// A connection that breaks the framing is closed, as the start of the next message can't be found.
asio::awaitable<void> ControlSocket::receiveMessages(tcp::socket socket)
{
    enableKeepAlive(socket);
    const auto greeting = greetingOf(PeerRole::Pull);
    Greeting answer{};
    auto [error, written] = co_await asio::async_write(socket, asio::buffer(greeting), kWaitForCompletion);
    if (!error) {
        std::tie(error, std::ignore) = co_await asio::async_read(socket, asio::buffer(answer), kWaitForCompletion);
    }
    std::string message;
    while (!error && answer == greetingOf(PeerRole::Push)) {
        MessageLength length{};
        std::tie(error, std::ignore) = co_await asio::async_read(socket, asio::buffer(length), kWaitForCompletion);
        if (!error && decodeLength(length) > kMaxSealedBytes) {
            reportError(ErrorKind::PeerOversized, "a peer announced a message of " + std::to_string(decodeLength(length)) + " bytes");
            break;
        }
        if (!error) {
            message.resize(decodeLength(length));
            std::tie(error, std::ignore) = co_await asio::async_read(socket, asio::buffer(message), kWaitForCompletion);
        }
        if (!error) {
            contain("message of a peer", [&] { handler_(message); });
        }
    }
}

void ControlSocket::closeLeastRecentlyUsed()
{
    const auto leastRecent = recentlyUsed_.back();
    connections_.at(leastRecent).link->close();
    connections_.erase(leastRecent);
    recentlyUsed_.pop_back();
}

// The connection keeps reconnecting while it is stored, so a host that was down becomes reachable again without further action.
PeerConnection &ControlSocket::connectionTo(HostId to)
{
    if (const auto found = connections_.find(to); found != connections_.end()) {
        recentlyUsed_.splice(recentlyUsed_.begin(), recentlyUsed_, found->second.position);
        return *found->second.link;
    }
    if (connections_.size() >= kMaxConnections) {
        closeLeastRecentlyUsed();
    }
    auto link = std::make_shared<PeerConnection>(context_, endpointOf(to));
    link->start();
    recentlyUsed_.push_front(to);
    return *connections_.emplace(to, Connection{std::move(link), recentlyUsed_.begin()}).first->second.link;
}

bool ControlSocket::send(HostId to, std::string_view sealed)
{
    return connectionTo(to).enqueue(std::string(sealed));
}

} // namespace medlarway
