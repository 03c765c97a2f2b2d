#pragma once

#include "daemon/worker_thread.h"
#include "flows/relayed_datagram.h"
#include "peering/envelope.h"
#include "peering/relay_socket.h"

#include <functional>

namespace medlarway
{

/// Relays datagrams to the hosts that own their flows, and receives those relayed to this host, on its own thread.
class RelayWorker
{
public:
    using Handler = std::function<void(HostId from, const RelayedDatagram &datagram)>;

    /// Binds the address. Throws Error(AddressTaken). The handler is called on the relay thread.
    RelayWorker(HostId self, const Endpoint &listen, std::uint64_t boot, const PeerKeys &keys, Handler handler);

    void start();

    /// Sends a datagram to a host. Thread-safe. If the ring is full, the datagram is dropped and counted.
    void relay(HostId to, const RelayedDatagram &datagram);

    /// Replaces the keys. Thread-safe.
    void setKeys(const PeerKeys &keys);

    /// Stops the thread.
    void stop();

private:
    void send(HostId to, const RelayedDatagram &datagram);
    void receive(std::string_view sealed);

    WorkerThread thread_;
    Envelope envelope_;
    Handler handler_;
    RelaySocket socket_;
};

} // namespace medlarway
