#pragma once

#include "base/endpoint.h"
#include "base/random.h"

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <span>

namespace medlarway::soak
{

/// State of a path to the store.
enum class StorePath : std::uint8_t {
    Forwarding,
    Silent, ///< connections are accepted, but no data passes
    OneWay, ///< the host's requests pass, the store's responses are lost
};

/// One host's path to the store: a TCP proxy. Not thread-safe: use it on the thread of its context.
class StoreLink
{
public:
    StoreLink(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &store);

    Endpoint address() const;

    void set(StorePath path)
    {
        path_ = path;
    }

    /// Resets the open connections.
    void reset();

    /// Stops forwarding on the open connections permanently, without closing them; new ones work.
    void freeze();

private:
    // The two sockets of a proxied connection.
    struct Connection {
        explicit Connection(boost::asio::io_context &context)
            : host(context)
            , store(context)
        {
        }

        boost::asio::ip::tcp::socket host;
        boost::asio::ip::tcp::socket store;
        bool frozen = false;
    };
    using ConnectionPointer = std::shared_ptr<Connection>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> connect(ConnectionPointer connection);
    boost::asio::awaitable<void> forward(ConnectionPointer connection, bool towardsStore);

    boost::asio::io_context &context_;
    Endpoint store_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<Connection>> connections_;
    StorePath path_ = StorePath::Forwarding;
};

/// The path of packets to one upstream address, which also accepts TCP connections. Not thread-safe: use it on the thread of its context.
class UpstreamLink
{
public:
    /// Called for each datagram with its source address; returns false to drop the datagram.
    using Filter = std::function<bool(std::uint32_t sender, std::span<const std::uint8_t> datagram)>;

    UpstreamLink(boost::asio::io_context &context, const Endpoint &listen, Filter filter);

    Endpoint address() const;

    /// Sets the upstream's real address; nullopt: the upstream has terminated, so connections are refused and packets dropped.
    void setUpstream(const std::optional<Endpoint> &upstream);

private:
    void receive();
    void accept();

    boost::asio::io_context &context_;
    Filter filter_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
    std::optional<Endpoint> upstream_;
    std::array<std::uint8_t, 2048> buffer_{};
};

} // namespace medlarway::soak
