// Two hosts forward the packets of a datagram flow, which may arrive at either of them.
#include "flows/flow_router.h"

#include <fmt/format.h>

using namespace medlarway;

int main()
{
    const Time now;
    const HostId first = hostIdOf({0x0a000001, 7000});
    const HostId second = hostIdOf({0x0a000002, 7000});
    const View view{1, {{first, {"ghent-1"}, HostState::Alive, 0}, {second, {"ghent-2"}, HostState::Alive, 0}}};

    FlowSettings settings;
    settings.flowLimit = 1000;
    settings.settleTime = Duration{0}; // no membership change to settle: no query to earlier owners is needed
    FlowRouter firstRouter(first, settings, now);
    FlowRouter secondRouter(second, settings, now);
    firstRouter.setView(view, now);
    secondRouter.setView(view, now);

    const FlowKey flow{{0xc0000201, 40000}, {0xc6336401, 53}};
    Outbox<FlowMessage> outbox;
    FlowDecisions decisions;

    // A packet arrives at one host. If the other host owns the flow, the packet is relayed there.
    FlowRouter *owner = &firstRouter;
    firstRouter.onPacket(flow, 0, now, outbox, decisions);
    if (decisions.packets.back().action == FlowAction::Relay) {
        fmt::print("relayed to {}\n", endpointToString(endpointOf(decisions.packets.back().host)));
        owner = &secondRouter;
        secondRouter.onPacket(flow, 1, now, outbox, decisions);
    }

    // The flow is new to its owner, which binds it to an upstream.
    if (decisions.packets.back().action == FlowAction::New) {
        fmt::print("new, hint {:x}\n", decisions.packets.back().hint);
        owner->bind(flow, {0x0a000101, 9000}, now);
    }

    // The next packet is forwarded to this upstream.
    owner->onPacket(flow, 1, now, outbox, decisions);
    fmt::print("forwarded to {}\n", endpointToString(decisions.packets.back().upstream));
    return 0;
}
