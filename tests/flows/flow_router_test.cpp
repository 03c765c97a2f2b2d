#include "base/random.h"
#include "flows/flow_router.h"
#include "flows/flow_table.h"
#include "flows/relay.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

FlowKey flowOf(std::uint32_t number)
{
    return {{0xc0000200U + number, 4000}, {0x7f000001, 9000}};
}

const Endpoint kUpstream{0x0a000001, 9000};

/// One router with what it decides, and the test's clock.
struct Alone {
    Time now{std::chrono::seconds{1}};
    FlowRouter router;
    Outbox<FlowMessage> outbox;
    FlowDecisions decisions;

    explicit Alone(const FlowSettings &settings)
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
    Alone host(smallSettings());
    CHECK(host.packet(1).action == FlowAction::New);
    CHECK_FALSE(host.router.bind(flowOf(1), kUpstream, host.now));

    SUBCASE("goes to the upstream that it was bound to")
    {
        CHECK(host.packet(1).action == FlowAction::Forward);
        CHECK(host.packet(1).upstream == kUpstream);
    }
    SUBCASE("is released once it is idle")
    {
        host.advance(std::chrono::seconds{80});
        REQUIRE(host.decisions.released.size() == 1);
        CHECK(host.decisions.released.front().upstream == kUpstream);
        CHECK(host.router.flowsOwned() == 0);
    }
    SUBCASE("is kept by the upstream's answers alone")
    {
        for (int minute = 0; minute < 5; ++minute) {
            host.advance(std::chrono::seconds{40});
            host.router.touch(flowOf(1), host.now);
        }
        CHECK(host.router.flowsOwned() == 1);
    }
    SUBCASE("is opened again after its upstream died")
    {
        host.router.forget(flowOf(1));
        CHECK(host.packet(1).action == FlowAction::New);
    }
    SUBCASE("is not displaced by new ones where the table is full; those are refused")
    {
        for (std::uint32_t flow = 2; flow <= 4; ++flow) {
            CHECK_FALSE(host.router.bind(flowOf(flow), kUpstream, host.now));
        }
        CHECK(host.packet(5).error == ErrorKind::FlowTableFull);
        CHECK(host.router.bind(flowOf(5), kUpstream, host.now) == ErrorKind::FlowTableFull);
        CHECK(host.packet(1).action == FlowAction::Forward);
    }
}

TEST_CASE("a flow of another host")
{
    Alone host(smallSettings());
    host.router.setView(View{2, {{HostId{1}, {}, HostState::Leaving, 0}, {HostId{2}, {}, HostState::Alive, 0}}}, host.now);

    SUBCASE("is relayed while hops are left, then dropped")
    {
        host.router.beginLeave(host.now);
        CHECK(host.packet(1).host == HostId{2});
        host.router.onPacket(flowOf(1), kRelayHops, host.now, host.outbox, host.decisions);
        CHECK(host.decisions.packets.back().error == ErrorKind::HopLimit);
    }
    SUBCASE("is relayed only where it fits into one frame")
    {
        CHECK(fitsRelay(kRelayPayloadBytes));
        CHECK_FALSE(fitsRelay(kRelayPayloadBytes + 1));
    }
}

TEST_CASE("a table of flows finds every flow after any order of inserts and erases")
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
            present[flow] = table.findOrInsert(flowOf(flow), FlowPlace::Held) != nullptr;
        }
    }
    for (std::uint32_t flow = 0; flow < present.size(); ++flow) {
        CHECK((table.find(flowOf(flow)) != nullptr) == present[flow]);
    }
}
