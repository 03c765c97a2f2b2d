#pragma once

#include "daemon/duty_thread.h"
#include "flows/relayed_datagram.h"
#include "peering/envelope.h"
#include "peering/relay_socket.h"

#include <functional>

namespace medlarway
{

/// Hands datagrams to the hosts that hold their flows and takes in those of this host's flows, on a
/// thread of its own.
class RelayDuty
{
public:
    using Handler = std::function<void(HostId from, const RelayedDatagram &datagram)>;

    /// Binds at once. Throws Error(AddressTaken). The handler is called on the duty's thread.
    RelayDuty(HostId self, const Endpoint &listen, std::uint64_t boot, const PeerKeys &keys, Handler handler);

    void start();

    /// Sends a datagram to a host. Any thread may call it; what the ring can't take is dropped and counted.
    void relay(HostId to, const RelayedDatagram &datagram);

    /// Puts other keys in force. Any thread may call it.
    void setKeys(const PeerKeys &keys);

    /// Ends the thread.
    void stop();

private:
    void send(HostId to, const RelayedDatagram &datagram);
    void receive(std::string_view sealed);

    DutyThread thread_;
    Envelope envelope_;
    Handler handler_;
    RelaySocket socket_;
};

} // namespace medlarway
