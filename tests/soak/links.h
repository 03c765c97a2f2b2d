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

/// What a path to the store does.
enum class StorePath : std::uint8_t {
    Passes,
    Silent, ///< nothing passes; connections are taken all the same
    OneWay, ///< the store hears the host, its answers are lost
};

/// One host's path to the store: passes its connections on. Lives on the thread of its context.
class StoreLink
{
public:
    StoreLink(boost::asio::io_context &context, const Endpoint &listen, const Endpoint &store);

    Endpoint address() const;

    void set(StorePath path)
    {
        path_ = path;
    }

    /// Resets the connections that are open.
    void reset();

    /// Lets the connections that are open fall silent for good; new ones work.
    void freeze();

private:
    // Two ends of a connection that is passed on.
    struct Pair {
        explicit Pair(boost::asio::io_context &context)
            : host(context)
            , store(context)
        {
        }

        boost::asio::ip::tcp::socket host;
        boost::asio::ip::tcp::socket store;
        bool frozen = false;
    };
    using PairPointer = std::shared_ptr<Pair>;

    boost::asio::awaitable<void> accept();
    boost::asio::awaitable<void> join(PairPointer pair);
    boost::asio::awaitable<void> pass(PairPointer pair, bool towardsStore);

    boost::asio::io_context &context_;
    Endpoint store_;
    boost::asio::ip::tcp::acceptor acceptor_;
    std::list<std::weak_ptr<Pair>> pairs_;
    StorePath path_ = StorePath::Passes;
};

/// The path of packets to one address of an upstream, and its connections. Lives on the thread of its context.
class UpstreamLink
{
public:
    /// Sees each datagram and the address that it is from; false where it is lost.
    using Watcher = std::function<bool(std::uint32_t sender, std::span<const std::uint8_t> datagram)>;

    UpstreamLink(boost::asio::io_context &context, const Endpoint &listen, Watcher watcher);

    Endpoint address() const;

    /// Where the upstream is now; nullopt: it has ended, and no connection can be made.
    void setUpstream(const std::optional<Endpoint> &upstream);

private:
    void receive();
    void accept();

    boost::asio::io_context &context_;
    Watcher watcher_;
    boost::asio::ip::udp::socket socket_;
    boost::asio::ip::udp::endpoint sender_;
    std::optional<boost::asio::ip::tcp::acceptor> acceptor_;
    std::optional<Endpoint> upstream_;
    std::array<std::uint8_t, 2048> buffer_{};
};

} // namespace medlarway::soak
