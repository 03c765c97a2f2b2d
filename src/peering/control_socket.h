#pragma once

#include "base/host.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <unordered_map>

namespace medlarway
{

/// Maximum number of open outgoing connections; a new one closes the least recently used one.
inline constexpr std::size_t kMaxConnections = 64;

/// Transports sealed control messages between hosts: one nng pull socket receives them on its own thread, and a push
/// socket for each destination sends them. Sending never blocks: a message is dropped if the destination's send queue
/// is full, so callers must tolerate losses as on a network.
class ControlSocket
{
public:
    using Handler = std::function<void(std::string_view sealed)>;

    /// Listens on the endpoint and calls the handler for each message on the receiving thread.
    /// Throws Error(AddressTaken).
    ControlSocket(const Endpoint &listen, Handler handler);
    ~ControlSocket(); ///< blocks for about one second at most
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
        std::uint32_t socket = 0;
        std::list<HostId>::iterator position;
    };

    std::uint32_t socketFor(HostId to);
    void closeLeastRecentlyUsed();
    void receiveLoop();

    Handler handler_;
    std::uint32_t pullSocket_ = 0;
    std::list<HostId> recentlyUsed_; ///< destinations, most recently used first
    std::unordered_map<HostId, Connection> connections_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace medlarway
