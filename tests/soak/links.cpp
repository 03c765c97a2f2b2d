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
Endpoint localOf(const Socket &socket)
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
    return localOf(acceptor_);
}

void StoreLink::reset()
{
    for (const auto &entry : std::exchange(pairs_, {})) {
        if (const auto pair = entry.lock()) {
            resetSocket(pair->host);
            resetSocket(pair->store);
        }
    }
}

void StoreLink::freeze()
{
    for (const auto &entry : pairs_) {
        if (const auto pair = entry.lock()) {
            pair->frozen = true;
        }
    }
}

asio::awaitable<void> StoreLink::accept()
{
    for (;;) {
        const auto pair = std::make_shared<Pair>(context_);
        const auto [error] = co_await acceptor_.async_accept(pair->host, kWaitForCompletion);
        if (error) {
            co_return;
        }
        pairs_.remove_if([](const auto &entry) { return entry.expired(); });
        pairs_.push_back(pair);
        asio::co_spawn(context_, join(pair), asio::detached);
    }
}

asio::awaitable<void> StoreLink::join(PairPointer pair)
{
    const auto [error] = co_await pair->store.async_connect(toAsio<tcp>(store_), kWaitForCompletion);
    if (error) {
        resetSocket(pair->host);
        co_return;
    }
    asio::co_spawn(context_, pass(pair, true), asio::detached);
    asio::co_spawn(context_, pass(pair, false), asio::detached);
}

// Bytes that come while the path is cut are lost, and with them the connection: nothing passes on it any more.
asio::awaitable<void> StoreLink::pass(PairPointer pair, bool towardsStore)
{
    auto &from = towardsStore ? pair->host : pair->store;
    auto &to = towardsStore ? pair->store : pair->host;
    std::array<char, 16384> buffer{};
    for (;;) {
        const auto [error, size] = co_await from.async_read_some(asio::buffer(buffer), kWaitForCompletion);
        if (error) {
            break;
        }
        if (path_ == StorePath::Silent || (path_ == StorePath::OneWay && !towardsStore)) {
            pair->frozen = true;
        }
        if (pair->frozen) {
            continue;
        }
        const auto [failed, written] = co_await asio::async_write(to, asio::buffer(buffer, size), kWaitForCompletion);
        if (failed) {
            break;
        }
    }
    ErrorCode ignored;
    pair->host.close(ignored);
    pair->store.close(ignored);
}

UpstreamLink::UpstreamLink(asio::io_context &context, const Endpoint &listen, Watcher watcher)
    : context_(context)
    , watcher_(std::move(watcher))
    , socket_(context, toAsio<udp>(listen))
{
    receive();
}

Endpoint UpstreamLink::address() const
{
    return localOf(socket_);
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
        if (upstream_ && watcher_(sender_.address().to_v4().to_uint(), datagram)) {
            ErrorCode ignored;
            socket_.send_to(asio::buffer(buffer_.data(), size), toAsio<udp>(*upstream_), 0, ignored);
        }
        receive();
    });
}

} // namespace medlarway::soak
