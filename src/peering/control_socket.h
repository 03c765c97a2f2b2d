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

/// Receivers whose connections are kept open; the one that was idle the longest makes room.
inline constexpr std::size_t kMaxOpenPeers = 64;

/// Carries sealed control messages between hosts: one nng pull socket takes them in on a thread of
/// its own, a push socket for each receiver sends them. Sending never blocks; what a receiver's
/// short queue can't take is dropped, as a network may drop it.
class ControlSocket
{
public:
    using Receiver = std::function<void(std::string_view sealed)>;

    /// Listens on the endpoint and hands each message to the receiver on the receiving thread.
    /// Throws Error(AddressTaken).
    ControlSocket(const Endpoint &listen, Receiver receiver);
    ~ControlSocket(); ///< closes within about a second
    ControlSocket(const ControlSocket &) = delete;
    ControlSocket &operator=(const ControlSocket &) = delete;

    /// Sends to the host's peers' endpoint. False where the message was dropped. One thread only.
    bool send(HostId to, std::string_view sealed);

    /// Receivers that have a connection.
    std::size_t openPeers() const
    {
        return peers_.size();
    }

private:
    struct Peer {
        std::uint32_t socket = 0;
        std::list<HostId>::iterator use;
    };

    std::uint32_t socketFor(HostId to);
    void closeOldest();
    void receiveLoop();

    Receiver receiver_;
    std::uint32_t pull_ = 0;
    std::list<HostId> byUse_; ///< the latest used first
    std::unordered_map<HostId, Peer> peers_;
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

} // namespace medlarway
