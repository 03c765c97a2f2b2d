#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarway
{

/// An upstream of the platform's packet protocol, for tests and the quickstart. Runs on its own thread. Responds to a SYN with a SYN-ACK,
/// which it repeats until the client acknowledges it, and to data with "NAME: " and the data. Resets a flow that it does not hold. Also
/// accepts TCP connections at its address and closes them at once.
class StandinPacketUpstream
{
public:
    /// Each packet must be prefixed with number. Responses go to the IP address of the flow's client and to clientPort.
    StandinPacketUpstream(std::string name, std::uint64_t number, const Endpoint &listen, std::uint16_t clientPort);
    ~StandinPacketUpstream(); ///< stops responding, as a crash would
    StandinPacketUpstream(const StandinPacketUpstream &) = delete;
    StandinPacketUpstream &operator=(const StandinPacketUpstream &) = delete;

    Endpoint address() const;

    /// Number of packets received that were prefixed with the number of another upstream, which is an error.
    std::size_t foreignPackets() const;

    /// Number of SYNs received, including retransmissions.
    std::size_t synCount() const;

    /// Number of resets sent.
    std::size_t resetCount() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// Result of waiting for a packet of the flow.
enum class ClientEvent : std::uint8_t {
    Nothing, ///< timeout
    Opened, ///< a SYN-ACK
    Data,
    Reset,
};

/// Chooses the host that receives a packet of the flow with this client port, as a router does.
using HostSelector = std::function<Endpoint(std::uint16_t port)>;

/// A client of the packet protocol with one flow at a time. Retransmits every 200 ms. Not thread-safe.
class StandinPacketClient
{
public:
    /// Listens at the address and port to which entry hosts and upstreams send.
    explicit StandinPacketClient(const Endpoint &listen);
    ~StandinPacketClient();
    StandinPacketClient(const StandinPacketClient &) = delete;
    StandinPacketClient &operator=(const StandinPacketClient &) = delete;

    /// Opens a new flow from a new client port to a route's address through the given host.
    ClientEvent open(const Endpoint &host, const Endpoint &route);

    /// Sends a request on the flow through the given host and waits for its response. After ClientEvent::Data, received() is the response.
    ClientEvent exchange(const Endpoint &host, const std::string &request);

    /// The same, but each packet goes to the host that the selector returns for it.
    ClientEvent open(const HostSelector &host, const Endpoint &route);
    ClientEvent exchange(const HostSelector &host, const std::string &request);

    /// The network loses the next SYN-ACKs of flows that are not open yet.
    void loseSynAcks(std::size_t count);

    /// Waits until an upstream sends another SYN-ACK although the flow is open; false if none does within the limit.
    bool awaitLateSynAck(std::chrono::milliseconds limit);

    /// The data of the last response.
    const std::string &received() const;

    /// The source address of the last packet received.
    std::uint32_t lastSender() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
