#pragma once

#include "base/time.h"
#include "cluster/peer_message.h"
#include "daemon/worker_thread.h"
#include "peering/byte_budget.h"
#include "peering/control_socket.h"
#include "peering/envelope.h"

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace medlarway
{

/// Addresses, keys and budgets of a host's peer link.
struct PeerLinkOptions {
    HostId self;
    Endpoint listen; ///< differs from self if the peers reach the host through a forwarder
    PeerKeys keys;
    std::uint64_t boot = 1; ///< boot number, higher after each restart
    std::uint64_t controlBytesPerSecond = 0; ///< budget for messages whose volume doesn't depend on the load
    std::uint64_t requestBytesPerSecond = 0; ///< budget for messages sent on behalf of requests and flows
};

/// Traffic of one kind of message, in both directions.
struct KindTraffic {
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t overBudget = 0; ///< messages dropped because the budget was used up
};

/// The control channel of one host: encodes and seals messages, enforces the byte budgets, and counts traffic by kind.
/// Runs on the control thread, except for the socket, which has its own thread.
class PeerLink
{
public:
    using Handler = std::function<void(HostId from, const PeerMessage &message)>;

    /// Binds and listens. Throws Error(AddressTaken). The control thread must outlive this object and runs the handler.
    PeerLink(const PeerLinkOptions &options, WorkerThread &controlThread, Handler handler);

    /// Sends a message, or drops it if it is too large, the budget is used up, or the socket refuses it.
    void send(HostId to, const PeerMessage &message, Time now);

    /// Changes the rates of the budgets.
    void setRates(std::uint64_t controlBytesPerSecond, std::uint64_t requestBytesPerSecond);

    /// Replaces the keys.
    void setKeys(const PeerKeys &keys);

    /// The traffic by kind as one JSON object.
    std::string stateAsJson() const;

private:
    void receive(std::string_view sealed);
    void notifyStaleBoot(std::string_view sealed);
    void deliver(const OpenedMessage &opened);

    Envelope envelope_;
    ByteBudget controlBudget_;
    ByteBudget requestBudget_;
    Handler handler_;
    std::array<KindTraffic, kPeerMessageKinds> traffic_{};
    std::unique_ptr<ControlSocket> socket_;
};

} // namespace medlarway
