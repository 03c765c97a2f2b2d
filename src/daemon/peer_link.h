#pragma once

#include "base/time.h"
#include "cluster/peer_message.h"
#include "daemon/duty_thread.h"
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

/// How a host reaches its peers.
struct PeerLinkOptions {
    HostId self;
    Endpoint listen; ///< may differ from self where the peers reach the host through a forwarder
    PeerKeys keys;
    std::uint64_t boot = 1; ///< higher after each restart
    std::uint64_t controlBytesPerSecond = 0; ///< budget of what hosts tell each other whatever the load
    std::uint64_t requestBytesPerSecond = 0; ///< budget of what is sent for requests and flows
};

/// Messages and bytes of one kind, both ways.
struct KindTraffic {
    std::uint64_t sentMessages = 0;
    std::uint64_t sentBytes = 0;
    std::uint64_t receivedMessages = 0;
    std::uint64_t receivedBytes = 0;
    std::uint64_t overBudget = 0; ///< messages that were not sent to stay within the budget
};

/// The control channel of one host: encodes, seals, keeps the budget, and counts by kind. Everything
/// but the socket's own thread happens on the control duty's thread.
class PeerLink
{
public:
    using Handler = std::function<void(HostId from, const PeerMessage &message)>;

    /// Listens at once. Throws Error(AddressTaken). The duty must outlive it.
    PeerLink(const PeerLinkOptions &options, DutyThread &duty, Handler handler);

    /// Sends, or drops where budget or network say so.
    void send(HostId to, const PeerMessage &message, Time now);

    /// Puts other budgets in force.
    void setRates(std::uint64_t controlBytesPerSecond, std::uint64_t requestBytesPerSecond);

    /// Puts other keys in force.
    void setKeys(const PeerKeys &keys);

    /// The traffic by kind as one JSON object.
    std::string stateAsJson() const;

private:
    void receive(std::string_view sealed);
    void answerStaleBoot(std::string_view sealed);
    void deliver(const OpenedMessage &opened);

    Envelope envelope_;
    ByteBudget controlBudget_;
    ByteBudget requestBudget_;
    Handler handler_;
    std::array<KindTraffic, kPeerMessageKinds> traffic_{};
    std::unique_ptr<ControlSocket> socket_;
};

/// Reads the keys from their files; the previous one's name may be empty. Throws Error(BadSettings).
PeerKeys loadPeerKeys(const std::string &keyFile, const std::string &previousKeyFile);

} // namespace medlarway
