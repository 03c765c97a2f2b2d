// Applies arbitrary packets and configuration changes in any order. A packet may only be forwarded to an upstream of a
// service that its route has or had and, except for SYN and RST, never to one whose address another upstream took over. A new
// flow must not go to a draining or unlisted upstream. The flow counts of the upstreams must add up.
#include "steering/flow_steering.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>

namespace
{

using namespace medlarway;

constexpr std::uint8_t kUpstreams = 6;
constexpr std::uint8_t kRoutes = 3;

Endpoint routeAddress(std::uint8_t number)
{
    return {0xc6120001U + number % kRoutes, 443};
}

std::string serviceName(std::uint8_t number)
{
    return number % 2 == 0 ? "registry" : "gallery";
}

// Applies the operations that the input encodes to the steering and checks its decisions against a model of the routes.
class SteeringHarness
{
public:
    void step(std::uint8_t operation, std::uint8_t a, std::uint8_t b)
    {
        now_ += std::chrono::milliseconds{b};
        switch (operation % 8) {
        case 0:
            configure(a, b);
            break;
        case 1:
            listUpstream(a, b);
            break;
        case 2:
            steering_.directory().remove(idOf(a), {1, ++revision_}, now_);
            break;
        case 3:
            steering_.tick(now_);
            break;
        case 4:
            if (a % kUpstreams < steering_.directory().all().size()) {
                steering_.markUnreachable(a % kUpstreams, now_);
            }
            break;
        default:
            send(operation, a, b);
        }
        check();
    }

private:
    static std::string idOf(std::uint8_t number)
    {
        return "i-" + std::to_string(number % kUpstreams + 1);
    }

    void configure(std::uint8_t a, std::uint8_t b)
    {
        RouteConfig config;
        config.version = ++version_;
        std::set<Endpoint> configured;
        for (std::uint8_t route = 0; route < kRoutes; ++route) {
            if (((a >> route) & 1U) == 0) {
                continue;
            }
            FlowRoute row;
            row.address = routeAddress(route);
            row.targets = {{serviceName((b >> route) & 1U), 1}};
            allowed_.insert({row.address, row.targets[0].service});
            configured.insert(row.address);
            config.routes.push_back(row);
        }
        std::erase_if(allowed_, [&](const auto &pair) { return !configured.contains(pair.first); });
        steering_.applyConfig(config);
    }

    void listUpstream(std::uint8_t a, std::uint8_t b)
    {
        UpstreamEntry entry;
        entry.id = idOf(a);
        entry.number = a % kUpstreams + 1U;
        entry.address = {0x0a000000U + b % 4U, 80};
        entry.service = serviceName(a % kUpstreams);
        entry.zone.name = (b & 16U) != 0 ? "a" : "b";
        entry.draining = (b & 32U) != 0;
        entry.startMs = b & 64U;
        entry.revision = {1, ++revision_};
        steering_.directory().apply(entry, now_);
    }

    void send(std::uint8_t operation, std::uint8_t a, std::uint8_t b)
    {
        FlowPacket packet;
        packet.flow = {{0x64400001, static_cast<std::uint16_t>(a & 7U)}, routeAddress(a >> 4U)};
        packet.syn = operation % 8 == 5;
        packet.fin = (b & 1U) != 0;
        packet.rst = (b & 2U) != 0;
        packet.sequence = b & 12U;
        packet.acknowledged = b & 48U;
        packet.dataBytes = b & 4U;
        packet.token = (b & 64U) != 0 ? tokenOf(idOf(a)) : 0;
        if ((b & 128U) != 0) {
            packet.token = openingToken(tokenOf(idOf(a)), packet.sequence);
        }
        const auto step = steering_.onPacket(packet, now_);
        for (const auto &superseded : steering_.takeSupersededSyns()) {
            if (superseded.flow != packet.flow || superseded.sentTo == superseded.openedAt || superseded.openedAt != step.upstream) {
                std::abort();
            }
        }
        if (step.action != SteeringAction::Forward) {
            return;
        }
        const auto &upstream = steering_.directory().at(step.upstream);
        if (!allowed_.contains({packet.flow.destination, upstream.entry.service})) {
            std::abort();
        }
        if (step.reason == SteeringReason::Opened && (upstream.entry.draining || upstream.presence != Presence::Listed)) {
            std::abort();
        }
        if (upstream.presence == Presence::Replaced && !packet.rst && !packet.syn) {
            std::abort();
        }
    }

    void check() const
    {
        std::size_t flows = 0;
        for (const auto &upstream : steering_.directory().all()) {
            flows += upstream.flows;
            if (upstream.running > upstream.flows || upstream.expectedLoad < -1e-3) {
                std::abort();
            }
        }
        if (flows != steering_.flowCount()) {
            std::abort();
        }
    }

    FlowSteering steering_{SteeringOptions{}};
    Time now_ = Time{} + std::chrono::hours{1};
    std::uint64_t version_ = 0;
    std::uint64_t revision_ = 0;
    std::set<std::pair<Endpoint, std::string>> allowed_; // routes with the services that they have or had
};

} // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    SteeringHarness harness;
    for (std::size_t at = 0; at + 3 <= size; at += 3) {
        harness.step(data[at], data[at + 1], data[at + 2]);
    }
    return 0;
}
