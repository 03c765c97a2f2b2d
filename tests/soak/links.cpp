#include "soak/links.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace medlarway::soak
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using ErrorCode = boost::system::error_code;

constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

template<class Protocol>
typename Protocol::endpoint toAsio(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

template<class Socket>
Endpoint localEndpoint(const Socket &socket)
{
    const auto local = socket.local_endpoint();
    return {local.address().to_v4().to_uint(), local.port()};
}

void resetSocket(tcp::socket &socket)
{
    ErrorCode ignored;
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

StoreLink::StoreLink(asio::io_context &context, const Endpoint &listen, const Endpoint &store)
    : context_(context)
    , store_(store)
    , acceptor_(context, toAsio<tcp>(listen))
{
    asio::co_spawn(context_, accept(), asio::detached);
}

Endpoint StoreLink::address() const
{
    return localEndpoint(acceptor_);
}

void StoreLink::reset()
{
    for (const auto &entry : std::exchange(connections_, {})) {
        if (const auto connection = entry.lock()) {
            resetSocket(connection->host);
            resetSocket(connection->store);
        }
    }
}

void StoreLink::freeze()
{
    for (const auto &entry : connections_) {
        if (const auto connection = entry.lock()) {
            connection->frozen = true;
        }
    }
}

asio::awaitable<void> StoreLink::accept()
{
    for (;;) {
        const auto connection = std::make_shared<Connection>(context_);
        const auto [error] = co_await acceptor_.async_accept(connection->host, kWaitForCompletion);
        if (error) {
            co_return;
        }
        connections_.remove_if([](const auto &entry) { return entry.expired(); });
        connections_.push_back(connection);
        asio::co_spawn(context_, connect(connection), asio::detached);
    }
}

asio::awaitable<void> StoreLink::connect(ConnectionPointer connection)
{
    const auto [error] = co_await connection->store.async_connect(toAsio<tcp>(store_), kWaitForCompletion);
    if (error) {
        resetSocket(connection->host);
        co_return;
    }
    asio::co_spawn(context_, forward(connection, true), asio::detached);
    asio::co_spawn(context_, forward(connection, false), asio::detached);
}

// Data received while the path is cut is lost. A TCP stream cannot continue after a gap, so nothing passes on this connection any more.
asio::awaitable<void> StoreLink::forward(ConnectionPointer connection, bool towardsStore)
{
    auto &from = towardsStore ? connection->host : connection->store;
    auto &to = towardsStore ? connection->store : connection->host;
    std::array<char, 16384> buffer{};
    for (;;) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), kWaitForCompletion);
        if (error) {
            break;
        }
        if (path_ == StorePath::Silent || (path_ == StorePath::OneWay && !towardsStore)) {
            connection->frozen = true;
        }
        if (connection->frozen) {
            continue;
        }
        const auto [failed, written] = co_await asio::async_write(to, asio::buffer(buffer, size), kWaitForCompletion);
        if (failed) {
            break;
        }
    }
    ErrorCode ignored;
    connection->host.close(ignored);
    connection->store.close(ignored);
}

UpstreamLink::UpstreamLink(asio::io_context &context, const Endpoint &listen, Filter filter)
    : context_(context)
    , filter_(std::move(filter))
    , socket_(context, toAsio<udp>(listen))
{
    receive();
}

Endpoint UpstreamLink::address() const
{
    return localEndpoint(socket_);
}

void UpstreamLink::setUpstream(const std::optional<Endpoint> &upstream)
{
    upstream_ = upstream;
    if (!upstream) {
        acceptor_.reset();
    } else if (!acceptor_) {
        acceptor_.emplace(context_, toAsio<tcp>(address()));
        accept();
    }
}

void UpstreamLink::accept()
{
    acceptor_->async_accept([this](const ErrorCode &error, const tcp::socket & /*closed at once*/) {
        if (!error && acceptor_) {
            accept();
        }
    });
}

void UpstreamLink::receive()
{
    socket_.async_receive_from(asio::buffer(buffer_), sender_, [this](const ErrorCode &error, std::size_t size) {
        if (error) {
            return;
        }
        const std::span<const std::uint8_t> datagram(buffer_.data(), size);
        if (upstream_ && filter_(sender_.address().to_v4().to_uint(), datagram)) {
            ErrorCode ignored;
            socket_.send_to(asio::buffer(buffer_.data(), size), toAsio<udp>(*upstream_), 0, ignored);
        }
        receive();
    });
}

} // namespace medlarway::soak
