// Another writer's entry, a copy of an endpoint's without its version, under an id that no endpoint has. Open flows of the endpoint must
// go on.
#include "deployment.h"

#include <nlohmann/json.hpp>

using namespace review;

namespace
{

constexpr int kFlows = 12;
constexpr Millis kRequestInterval{150};

bool holds(const std::string &folder)
{
    Deployment site(folder, {"a", "a"});
    site.writeConfig(7, Deployment::configValue(7, {{Deployment::routeAddress(1), "registry"}, {Deployment::routeAddress(2), "gallery"}},
                                                {"registry", "gallery"}));
    const auto now = unixMillis();
    const auto first = site.startEndpoint("i-7f3a91c2aa", "registry", site.newEndpointAddress(), "a", now - 60'000);
    const auto second = site.startEndpoint("i-19c0de42bb", "registry", site.newEndpointAddress(), "a", now - 50'000);
    const auto third = site.startEndpoint("i-50ab77e1cc", "gallery", site.newEndpointAddress(), "b", now - 55'000);
    for (auto &host : site.hosts) {
        site.start(host);
    }
    site.awaitReady(Millis{10'000});

    // Step 1. Clients hold flows open and send requests on them, undisturbed for longer than stable-ms.
    const auto client = site.newClient();
    std::vector<FlowPointer> flows;
    for (int row = 0; row < kFlows; ++row) {
        flows.push_back(client->open(Deployment::routeAddress(1)));
    }
    int number = 0;
    std::function<void()> sendAll = [&] {
        for (const auto &flow : flows) {
            client->request(flow, "request " + std::to_string(++number));
        }
        site.loop.after(kRequestInterval, sendAll);
    };
    sendAll();
    site.loop.runFor(Millis{6000});
    for (const auto &flow : flows) {
        if (flow->state != FlowState::Open || flow->answered < 10) {
            throw CannotRun("a flow is not served before the disruption");
        }
    }
    const auto ofFirst
        = std::count_if(flows.begin(), flows.end(), [&](const FlowPointer &flow) { return flow->endpoint == first->options().id; });
    site.record.note(std::to_string(ofFirst) + " of " + std::to_string(kFlows) + " flows are open at " + first->options().id);
    if (ofFirst == 0) {
        throw CannotRun("no flow is open at the first endpoint");
    }

    // Step 2. The other writer's entry.
    if (Deployment::trouble()) {
        auto entry = nlohmann::json::parse(first->entry("ready"));
        entry.erase("version");
        site.store->put("servers/i-0badc0ffee", entry.dump());
        site.record.note("another writer wrote servers/i-0badc0ffee: " + entry.dump());
    }
    site.loop.runFor(Millis{8000});

    // Step 3. FLOW (a): no client got a reset that the flow's endpoint didn't send, as all endpoints live and nothing was disturbed.
    int broken = 0;
    for (const auto &flow : flows) {
        if (flow->state == FlowState::ResetBySystem) {
            ++broken;
            site.record.note("RULE FLOW: the open flow " + toText(flow->client) + " of " + flow->endpoint + " got a reset of the system");
        }
    }
    site.record.note(std::to_string(broken) + " of " + std::to_string(kFlows) + " open flows were reset; the endpoints ran "
                     + std::to_string(first->requestsRun()) + ", " + std::to_string(second->requestsRun()) + " and "
                     + std::to_string(third->requestsRun()) + " requests");
    return broken == 0 && client->wrongPackets() == 0;
}

} // namespace

int main(int argumentCount, char **arguments)
{
    return runCase(argumentCount, arguments, holds);
}
