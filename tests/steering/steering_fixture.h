#pragma once

#include "steering/flow_steering.h"

#include <string>
#include <utility>
#include <vector>

namespace medlarway::steering_test
{

using namespace std::chrono_literals;

inline constexpr Endpoint kFeed{0xc6120001, 8443}; ///< the address of the route that most tests use
inline constexpr Endpoint kGallery{0xc6120002, 8443}; ///< a route to another service
inline constexpr Endpoint kUnknown{0xc6120003, 8443}; ///< no route

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
    entry.born = 1000;
    entry.revision = revision;
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

/// A host of zone "a" with two routes and certain of them.
inline FlowSteering makeSteering()
{
    SteeringOptions options;
    options.zone.name = "a";
    FlowSteering steering(options);
    steering.applyConfig(configOf(1, {routeTo(kFeed, "registry"), routeTo(kGallery, "gallery")}));
    steering.setCertainUntil(at(1h));
    return steering;
}

/// The client's side of one flow: makes its packets in turn.
class Client
{
public:
    explicit Client(std::uint16_t port, const Endpoint &destination = kFeed)
        : flow_{{0x64400007, port}, destination}
    {
    }

    FlowPacket open() const
    {
        FlowPacket packet;
        packet.flow = flow_;
        packet.sequence = kFirstSequence;
        packet.opens = true;
        return packet;
    }

    /// The answer to the upstream's answer, which brought the token.
    FlowPacket acknowledge(FlowToken token)
    {
        token_ = token;
        acknowledged_ += 1;
        return plain();
    }

    FlowPacket request()
    {
        sequence_ += kRequestBytes;
        return again();
    }

    /// The last request once more.
    FlowPacket again() const
    {
        auto packet = plain();
        packet.sequence = sequence_ - kRequestBytes;
        packet.dataBytes = kRequestBytes;
        return packet;
    }

    /// Acknowledges a part of the answer.
    FlowPacket takeAnswer()
    {
        acknowledged_ += 600;
        return plain();
    }

    FlowPacket finish() const
    {
        auto packet = plain();
        packet.finishes = true;
        return packet;
    }

    const FlowId &flow() const
    {
        return flow_;
    }

private:
    static constexpr std::uint32_t kFirstSequence = 0xfffffff0; // wraps within the first request
    static constexpr std::uint16_t kRequestBytes = 100;

    FlowPacket plain() const
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

/// So many clients, each with a flow to the only upstream there is, "i-1", and a request that waits for its answer.
inline std::vector<Client> askAll(FlowSteering &steering, std::uint16_t count)
{
    std::vector<Client> clients;
    for (std::uint16_t port = 1; port <= count; ++port) {
        clients.emplace_back(port);
        steering.onPacket(clients.back().open(), at(0s));
        steering.onPacket(clients.back().acknowledge(tokenOf("i-1")), at(10ms));
        steering.onPacket(clients.back().request(), at(20ms));
    }
    return clients;
}

} // namespace medlarway::steering_test
