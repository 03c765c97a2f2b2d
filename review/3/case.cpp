// One SYN-ACK of a few flows is lost, so the copy of the SYN opens the flow at another endpoint. Later one host is stopped as planned. The
// open flows must go on through the other host.
#include "deployment.h"

#include <csignal>
#include <set>

using namespace review;

namespace
{

constexpr int kFlows = 160;
constexpr int kLossOf = 10; // every tenth flow loses its first SYN-ACK
constexpr Millis kStable{4000}; // stable-ms
constexpr Millis kPause{2000}; // of a client, between two requests of a flow

bool holds(const std::string &folder)
{
    Deployment site(folder, {"a", "a"});
    site.writeConfig(7, Deployment::configValue(7, {{Deployment::routeAddress(1), "registry"}}, {"registry"}));
    const auto now = unixMillis();
    std::vector<std::unique_ptr<Endpoint>> endpoints;
    for (const auto *id : {"i-7f3a91c2aa", "i-19c0de42bb", "i-50ab77e1cc"}) {
        endpoints.push_back(site.startEndpoint(id, "registry", site.newEndpointAddress(), "a", now - 60'000));
    }
    for (auto &host : site.hosts) {
        site.start(host);
    }
    site.awaitReady(Millis{10'000});
    site.loop.runFor(Millis{4500});

    // Step 1. Clients open long flows; of some the first SYN-ACK is lost.
    const auto client = site.newClient();
    std::set<std::uint16_t> lost;
    client->isLost = [&](const Packet &packet) {
        return Deployment::trouble() && packet.has(Packet::kSyn) && packet.destination.port % kLossOf == 0
               && lost.insert(packet.destination.port).second;
    };
    std::vector<FlowPointer> flows;
    for (int row = 0; row < kFlows; ++row) {
        flows.push_back(client->open(Deployment::routeAddress(1)));
        site.loop.runFor(Millis{3});
    }
    int number = 0;
    for (const auto &flow : flows) {
        site.loop.after(kPause * number++ / kFlows, [&, flow] {
            auto send = std::make_shared<std::function<void()>>();
            *send = [&, flow, send] {
                client->request(flow, "request " + std::to_string(++number));
                site.loop.after(kPause, *send);
            };
            (*send)();
        });
    }
    site.loop.runFor(kStable + Millis{200});
    for (const auto &flow : flows) {
        if (flow->state != FlowState::Open || flow->answered == 0) {
            throw CannotRun("a flow is not served before the planned stop");
        }
    }
    site.record.note(std::to_string(kFlows) + " flows are open, " + std::to_string(lost.size()) + " of them lost a SYN-ACK");

    // Step 2. One host is stopped as planned.
    site.signal(site.hosts[0], SIGTERM);
    site.loop.runFor(Millis{9000});

    // Step 3. FLOW (a): no client got a reset that the flow's endpoint didn't send.
    int broken = 0;
    for (const auto &flow : flows) {
        const auto own = std::find_if(endpoints.begin(), endpoints.end(),
                                      [&](const auto &endpoint) { return endpoint->options().id == flow->endpoint; });
        const bool byOther = flow->state == FlowState::ResetByEndpoint && flow->resetFrom != (*own)->options().address;
        if (flow->state == FlowState::ResetBySystem || byOther) {
            ++broken;
            site.record.note("RULE FLOW: the open flow " + toText(flow->client) + " of " + flow->endpoint + " at "
                             + toText((*own)->options().address) + " got a reset from " + toText(flow->resetFrom));
        }
    }
    site.record.note(std::to_string(broken) + " of " + std::to_string(kFlows) + " open flows were reset");
    return broken == 0 && client->wrongPackets() == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
