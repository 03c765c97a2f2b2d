#include "base/random.h"
#include "flows/flow_router.h"
#include "flows/flow_table.h"
#include "flows/relayed_datagram.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

FlowKey flowOf(std::uint32_t number)
{
    return {{0xc0000200U + number, 4000}, {0x7f000001, 9000}};
}

const Endpoint kUpstream{0x0a000001, 9000};

/// One router with its output and a simulated clock.
struct SingleHost {
    Time now{std::chrono::seconds{1}};
    FlowRouter router;
    Outbox<FlowMessage> outbox;
    FlowDecisions decisions;

    explicit SingleHost(const FlowSettings &settings)
        : router(HostId{1}, settings, now)
    {
        router.setView(View{1, {{HostId{1}, {}, HostState::Alive, 0}}}, now);
    }

    FlowDecision packet(std::uint32_t flow)
    {
        router.onPacket(flowOf(flow), 0, now, outbox, decisions);
        return decisions.packets.back();
    }

    void advance(Duration duration)
    {
        for (const auto end = now + duration; now < end; now += std::chrono::milliseconds{50}) {
            router.tick(now, outbox, decisions);
        }
    }
};

FlowSettings smallSettings()
{
    FlowSettings settings;
    settings.flowLimit = 4;
    settings.idleTimeout = std::chrono::seconds{60};
    return settings;
}

} // namespace

TEST_CASE("a flow at its owner")
{
    SingleHost host(smallSettings());
    CHECK(host.packet(1).action == FlowAction::New);
    CHECK_FALSE(host.router.bind(flowOf(1), kUpstream, host.now));

    SUBCASE("is forwarded to the upstream that it was bound to")
    {
        CHECK(host.packet(1).action == FlowAction::Forward);
        CHECK(host.packet(1).upstream == kUpstream);
    }
    SUBCASE("is released after the idle timeout")
    {
        host.advance(std::chrono::seconds{80});
        REQUIRE(host.decisions.released.size() == 1);
        CHECK(host.decisions.released.front().upstream == kUpstream);
        CHECK(host.router.localFlows() == 0);
    }
    SUBCASE("does not expire while the upstream sends responses")
    {
        for (int minute = 0; minute < 5; ++minute) {
            host.advance(std::chrono::seconds{40});
            host.router.touch(flowOf(1), host.now);
        }
        CHECK(host.router.localFlows() == 1);
    }
    SUBCASE("is opened again after its upstream failed")
    {
        host.router.forget(flowOf(1));
        CHECK(host.packet(1).action == FlowAction::New);
    }
    SUBCASE("stays when the table is full; new flows are refused")
    {
        for (std::uint32_t flow = 2; flow <= 4; ++flow) {
            CHECK_FALSE(host.router.bind(flowOf(flow), kUpstream, host.now));
        }
        CHECK(host.packet(5).error == ErrorKind::FlowTableFull);
        CHECK(host.router.bind(flowOf(5), kUpstream, host.now) == ErrorKind::FlowTableFull);
        CHECK(host.packet(1).action == FlowAction::Forward);
    }
}

TEST_CASE("a flow that another host owns")
{
    SingleHost host(smallSettings());
    host.router.setView(View{2, {{HostId{1}, {}, HostState::Leaving, 0}, {HostId{2}, {}, HostState::Alive, 0}}}, host.now);

    SUBCASE("is relayed up to the hop limit, then dropped")
    {
        host.router.beginLeave(host.now);
        CHECK(host.packet(1).host == HostId{2});
        host.router.onPacket(flowOf(1), kMaxRelayHops, host.now, host.outbox, host.decisions);
        CHECK(host.decisions.packets.back().error == ErrorKind::HopLimit);
    }
    SUBCASE("is relayed only if the payload fits into one frame")
    {
        CHECK(fitsRelay(kMaxRelayPayloadBytes));
        CHECK_FALSE(fitsRelay(kMaxRelayPayloadBytes + 1));
    }
}

TEST_CASE("the flow table finds every flow after any sequence of inserts and erases")
{
    FlowTable table(64);
    Random random(3);
    std::vector<bool> present(80, false);
    for (int step = 0; step < 20'000; ++step) {
        const auto flow = static_cast<std::uint32_t>(random.below(present.size()));
        if (auto *entry = table.find(flowOf(flow)); entry != nullptr) {
            CHECK(present[flow]);
            table.erase(*entry);
            present[flow] = false;
        } else {
            CHECK_FALSE(present[flow]);
            present[flow] = table.findOrInsert(flowOf(flow), FlowLocation::Local) != nullptr;
        }
    }
    for (std::uint32_t flow = 0; flow < present.size(); ++flow) {
        CHECK((table.find(flowOf(flow)) != nullptr) == present[flow]);
    }
}
