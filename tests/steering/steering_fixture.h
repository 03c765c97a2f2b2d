#pragma once

#include "steering/flow_steering.h"

#include <string>
#include <utility>
#include <vector>

namespace medlarway::steering_test
{

using namespace std::chrono_literals;

inline constexpr Endpoint kRegistry{0xc6120001, 8443}; ///< address of the route to service "registry"
inline constexpr Endpoint kGallery{0xc6120002, 8443}; ///< address of the route to service "gallery"
inline constexpr Endpoint kUnrouted{0xc6120003, 8443}; ///< an address without a route

inline Time at(Duration since)
{
    return Time{} + 100s + since;
}

inline UpstreamEntry entryOf(const std::string &id, std::uint32_t address, const std::string &service = "registry",
                             const std::string &zone = "a", std::uint64_t revision = 1)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.number = address;
    entry.address = {address, 9000};
    entry.service = service;
    entry.zone.name = zone;
    entry.slots = 2;
    entry.startMs = 1000;
    entry.revision = {1, revision};
    return entry;
}

inline FlowRoute routeTo(const Endpoint &address, const std::string &service)
{
    FlowRoute route;
    route.name = service;
    route.address = address;
    route.targets = {{service, 1}};
    return route;
}

inline RouteConfig configOf(std::uint64_t version, std::vector<FlowRoute> routes)
{
    RouteConfig config;
    config.version = version;
    config.routes = std::move(routes);
    return config;
}

/// The steering of a host in zone "a" with two routes that count as up to date.
inline FlowSteering makeSteering()
{
    SteeringOptions options;
    options.zone.name = "a";
    FlowSteering steering(options);
    steering.applyConfig(configOf(1, {routeTo(kRegistry, "registry"), routeTo(kGallery, "gallery")}));
    steering.setFreshUntil(at(1h));
    return steering;
}

/// The client's side of one flow: creates its packets in sequence.
class Client
{
public:
    explicit Client(std::uint16_t port, const Endpoint &destination = kRegistry)
        : flow_{{0x64400007, port}, destination}
    {
    }

    /// The SYN, which may be sent again.
    FlowPacket syn(std::uint8_t earlierSyns = 0) const
    {
        FlowPacket packet;
        packet.earlierSyns = earlierSyns;
        packet.flow = flow_;
        packet.sequence = kFirstSequence;
        packet.syn = true;
        return packet;
    }

    /// The token that the SYN-ACK of an upstream carries.
    static FlowToken synAckToken(FlowToken upstreamToken)
    {
        return openingToken(upstreamToken, kFirstSequence + 1);
    }

    /// Receives a packet of an upstream that carries a token, without a response to it.
    void receive(FlowToken token)
    {
        token_ = token;
    }

    /// Acknowledges the upstream's SYN-ACK, which carried the token.
    FlowPacket acknowledge(FlowToken token)
    {
        token_ = token;
        acknowledged_ += 1;
        return headerOnly();
    }

    FlowPacket request()
    {
        sequence_ += kRequestBytes;
        return retransmit();
    }

    /// Retransmits the last request.
    FlowPacket retransmit() const
    {
        auto packet = headerOnly();
        packet.sequence = sequence_ - kRequestBytes;
        packet.dataBytes = kRequestBytes;
        return packet;
    }

    /// Acknowledges a part of the response.
    FlowPacket acknowledgeResponse()
    {
        acknowledged_ += 600;
        return headerOnly();
    }

    FlowPacket fin() const
    {
        auto packet = headerOnly();
        packet.fin = true;
        return packet;
    }

    const FlowId &flow() const
    {
        return flow_;
    }

private:
    static constexpr std::uint32_t kFirstSequence = 0xfffffff0; // wraps around within the first request
    static constexpr std::uint16_t kRequestBytes = 100;

    FlowPacket headerOnly() const
    {
        FlowPacket packet;
        packet.flow = flow_;
        packet.token = token_;
        packet.sequence = sequence_;
        packet.acknowledged = acknowledged_;
        return packet;
    }

    FlowId flow_;
    FlowToken token_ = 0;
    std::uint32_t sequence_ = kFirstSequence + 1;
    std::uint32_t acknowledged_ = 0x90000000;
};

/// Opens flows to "i-1", which must be the only upstream, and sends a request on each. Returns their clients.
inline std::vector<Client> openWithRequests(FlowSteering &steering, std::uint16_t count)
{
    std::vector<Client> clients;
    for (std::uint16_t port = 1; port <= count; ++port) {
        clients.emplace_back(port);
        steering.onPacket(clients.back().syn(), at(0s));
        steering.onPacket(clients.back().acknowledge(tokenOf("i-1")), at(10ms));
        steering.onPacket(clients.back().request(), at(20ms));
    }
    return clients;
}

} // namespace medlarway::steering_test
