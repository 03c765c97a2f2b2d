// Two hosts and a datagram flow whose packets reach either of them.
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
    settings.settleTime = Duration{0}; // both hosts have always been there: nobody need be asked
    FlowRouter atFirst(first, settings, now);
    FlowRouter atSecond(second, settings, now);
    atFirst.setView(view, now);
    atSecond.setView(view, now);

    const FlowKey flow{{0xc0000201, 40000}, {0xc6336401, 53}};
    Outbox<FlowMessage> outbox;
    FlowDecisions decisions;

    // The packet arrives at one host; the other one may be the owner.
    FlowRouter *holder = &atFirst;
    atFirst.onPacket(flow, 0, now, outbox, decisions);
    if (decisions.packets.back().action == FlowAction::Relay) {
        fmt::print("relayed to {}\n", endpointToString(endpointOf(decisions.packets.back().host)));
        holder = &atSecond;
        atSecond.onPacket(flow, 1, now, outbox, decisions);
    }

    // The owner has never seen the flow and binds it to an upstream.
    if (decisions.packets.back().action == FlowAction::New) {
        fmt::print("new, hint {:x}\n", decisions.packets.back().hint);
        holder->bind(flow, {0x0a000101, 9000}, now);
    }

    // The next packet goes straight there.
    holder->onPacket(flow, 1, now, outbox, decisions);
    fmt::print("forwarded to {}\n", endpointToString(decisions.packets.back().upstream));
    return 0;
}
