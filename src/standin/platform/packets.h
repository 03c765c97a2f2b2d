#pragma once

#include "base/endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace medlarway
{

/// An upstream of the platform's packet protocol, for tests and the quickstart, on a thread of its own: answers an opening,
/// and each piece of data with "NAME: " and the data. Takes TCP connections at its address too and says nothing on them.
class StandinPacketUpstream
{
public:
    /// The id's number must be in front of each packet. Clients are answered at their address and the port given.
    StandinPacketUpstream(std::string name, std::uint64_t number, const Endpoint &listen, std::uint16_t clientPort);
    ~StandinPacketUpstream(); ///< like a crash: it answers nothing any more
    StandinPacketUpstream(const StandinPacketUpstream &) = delete;
    StandinPacketUpstream &operator=(const StandinPacketUpstream &) = delete;

    Endpoint address() const;

    /// Packets that named another upstream, as they must not come.
    std::size_t foreignPackets() const;

    /// Openings that it answered, copies included.
    std::size_t openings() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

/// What a client received.
enum class ClientEvent : std::uint8_t {
    Nothing, ///< within the time
    Opened,
    Data,
    Reset,
};

/// Which host takes a packet of the flow that the client has at this port number, as routers choose it.
using HostOfPacket = std::function<Endpoint(std::uint16_t port)>;

/// A client of the packet protocol with one flow at a time. Sends again every 200 ms as clients do. Not thread-safe.
class StandinPacketClient
{
public:
    /// Listens at the port that entry hosts and upstreams send to.
    explicit StandinPacketClient(const Endpoint &listen);
    ~StandinPacketClient();
    StandinPacketClient(const StandinPacketClient &) = delete;
    StandinPacketClient &operator=(const StandinPacketClient &) = delete;

    /// Opens a new flow from a new port number to a route's address, through a host.
    ClientEvent open(const Endpoint &host, const Endpoint &route);

    /// Sends a request on the flow, through any host, and waits for its answer; received() is the answer then.
    ClientEvent exchange(const Endpoint &host, const std::string &request);

    /// The same, each packet through the host that is chosen for it.
    ClientEvent open(const HostOfPacket &host, const Endpoint &route);
    ClientEvent exchange(const HostOfPacket &host, const std::string &request);

    const std::string &received() const;

    /// The address from which the last packet came.
    std::uint32_t lastSender() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
