#pragma once

#include "base/host.h"
#include "peering/peer_connection.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace medlarway
{

/// Maximum number of open outgoing connections; a new one closes the least recently used one.
inline constexpr std::size_t kMaxConnections = 64;

/// Maximum number of incoming connections: more than a fleet has hosts.
inline constexpr std::size_t kMaxIncomingConnections = 2048;

/// Transports sealed control messages between hosts over TCP, on a thread of its own. Sending never blocks: a message is dropped if the
/// queue of its destination is full, so callers must tolerate losses as on a network.
class ControlSocket
{
public:
    using Handler = std::function<void(std::string_view sealed)>;

    /// Listens on the endpoint and calls the handler for each message on the socket's thread. Throws Error(AddressTaken).
    ControlSocket(const Endpoint &listen, Handler handler);
    ~ControlSocket();
    ControlSocket(const ControlSocket &) = delete;
    ControlSocket &operator=(const ControlSocket &) = delete;

    /// Queues a message to the host's peer endpoint; returns false if it was dropped. Call from one thread only.
    bool send(HostId to, std::string_view sealed);

    /// Number of open outgoing connections, including ones that are still being established.
    std::size_t connectionCount() const
    {
        return connections_.size();
    }

private:
    struct Connection {
        std::shared_ptr<PeerConnection> link;
        std::list<HostId>::iterator position;
    };

    PeerConnection &connectionTo(HostId to);
    void closeLeastRecentlyUsed();
    void listen(const Endpoint &endpoint);
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> receive(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> receiveMessages(boost::asio::ip::tcp::socket socket);

    Handler handler_;
    boost::asio::io_context context_{1};
    boost::asio::ip::tcp::acceptor acceptor_;
    std::size_t incoming_ = 0; ///< number of incoming connections
    std::list<HostId> recentlyUsed_; ///< destinations, most recently used first
    std::unordered_map<HostId, Connection> connections_;
    std::thread thread_;
};

} // namespace medlarway
