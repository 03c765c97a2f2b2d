#include "harness/message_network.h"
#include "membership/membership.h"

#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <optional>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

HostId hostNumber(int number)
{
    return hostIdOf(Endpoint{0x0a000000U + static_cast<std::uint32_t>(number), 7000});
}

// Several membership cores with a simulated clock and network.
class Fleet
{
public:
    Fleet(int hosts, int zones, std::uint64_t seed)
        : network(seed)
    {
        for (int number = 1; number <= hosts; ++number) {
            listed.push_back(ListedHost{endpointOf(hostNumber(number)), AvailabilityZone{"zone" + std::to_string(number % zones)}, false});
        }
        for (int number = 1; number <= hosts; ++number) {
            start(number, 1000);
        }
    }

    void start(int number, std::uint64_t incarnation)
    {
        MembershipOptions options;
        options.self = hostNumber(number);
        options.zone = listed.at(static_cast<std::size_t>(number - 1)).zone;
        options.incarnation = incarnation;
        options.seed = static_cast<std::uint64_t>(number) * 77 + incarnation;
        cores.insert_or_assign(options.self, Membership(options));
        cores.at(options.self).setListed(listed, now);
    }

    Membership &at(int number)
    {
        return cores.at(hostNumber(number));
    }

    void run(Duration span)
    {
        const auto end = now + span;
        while (now < end) {
            now += 10ms;
            for (auto &delivery : network.arrived(now)) {
                const auto found = cores.find(delivery.to);
                if (found != cores.end() && paused.count(delivery.to) == 0) {
                    found->second.receive(delivery.from, delivery.message, now, outbox);
                    network.send(delivery.to, outbox, now);
                }
            }
            for (auto &[id, core] : cores) {
                if (paused.count(id) == 0 && core.nextTick() <= now) {
                    core.tick(now, outbox);
                    network.send(id, outbox, now);
                }
            }
        }
    }

    std::optional<HostState> stateOf(int seenBy, int number)
    {
        for (const auto &member : at(seenBy).view().members) {
            if (member.id == hostNumber(number)) {
                return member.state;
            }
        }
        return std::nullopt;
    }

    bool hasEvent(int number, MembershipEventKind kind, HostId about)
    {
        for (const auto &event : at(number).takeEvents()) {
            if (event.kind == kind && event.host == about) {
                return true;
            }
        }
        return false;
    }

    Time now;
    std::vector<ListedHost> listed;
    std::map<HostId, Membership> cores;
    std::set<HostId> paused;
    MessageNetwork<MembershipMessage> network;
    Outbox<MembershipMessage> outbox;
};

} // namespace

TEST_CASE("five hosts that start together")
{
    Fleet fleet(5, 3, 1);
    CHECK_FALSE(fleet.at(1).isFresh(fleet.now));
    fleet.run(5s);

    SUBCASE("see each other and count their views as fresh")
    {
        for (int number = 1; number <= 5; ++number) {
            CHECK(fleet.at(number).view().members.size() == 5);
            CHECK(fleet.at(number).isFresh(fleet.now));
        }
    }
    SUBCASE("remove a host that crashes, within six seconds")
    {
        fleet.cores.erase(hostNumber(2));
        fleet.run(6s);
        for (const int number : {1, 3, 4, 5}) {
            CHECK(fleet.stateOf(number, 2) == std::nullopt);
            CHECK(fleet.hasEvent(number, MembershipEventKind::Removed, hostNumber(2)));
        }
        SUBCASE("and readmit it when it restarts")
        {
            fleet.start(2, 2000);
            fleet.run(2s);
            for (int number = 1; number <= 5; ++number) {
                CHECK(fleet.stateOf(number, 2) == HostState::Alive);
            }
            CHECK(fleet.at(2).isFresh(fleet.now));
        }
        SUBCASE("and readmit it when it restarts with a lower incarnation because its clock was set back")
        {
            fleet.start(2, 5);
            fleet.run(5s);
            CHECK(fleet.stateOf(1, 2) == HostState::Alive);
            CHECK(fleet.at(2).incarnation() > 1000);
        }
    }
    SUBCASE("see within a second that a host is leaving")
    {
        fleet.at(4).leave(fleet.now);
        fleet.run(1s);
        for (int number = 1; number <= 5; ++number) {
            CHECK(fleet.stateOf(number, 4) == HostState::Leaving);
        }
        SUBCASE("and that it left")
        {
            fleet.at(4).depart(fleet.now, fleet.outbox);
            fleet.network.send(hostNumber(4), fleet.outbox, fleet.now);
            fleet.run(1s);
            CHECK(fleet.stateOf(1, 4) == std::nullopt);
            CHECK(fleet.hasEvent(1, MembershipEventKind::Left, hostNumber(4)));
        }
    }
    SUBCASE("keep a host that only some of them can reach")
    {
        fleet.network.cut(hostNumber(1), hostNumber(2));
        fleet.network.cut(hostNumber(2), hostNumber(1));
        fleet.run(30s);
        CHECK(fleet.stateOf(1, 2) != std::nullopt);
        CHECK(fleet.stateOf(2, 1) != std::nullopt);
    }
    SUBCASE("ignore updates about a host that is not listed, and its messages")
    {
        MembershipMessage message;
        message.incarnation = 1;
        message.updates.push_back(MembershipUpdate{hostNumber(99), 1, MembershipUpdateKind::Alive, false});
        fleet.at(1).receive(hostNumber(2), message, fleet.now, fleet.outbox);
        fleet.at(1).receive(hostNumber(99), message, fleet.now, fleet.outbox);
        CHECK(fleet.at(1).view().members.size() == 5);
    }
    SUBCASE("keep a host that is no longer listed while it responds")
    {
        fleet.listed.erase(fleet.listed.begin() + 2);
        for (auto &[id, core] : fleet.cores) {
            core.setListed(fleet.listed, fleet.now);
        }
        fleet.run(10s);
        CHECK(fleet.stateOf(1, 3) == HostState::Alive);
        fleet.cores.erase(hostNumber(3));
        fleet.run(10s);
        CHECK(fleet.stateOf(1, 3) == std::nullopt);
    }
}

TEST_CASE("a host that was paused for ten seconds")
{
    Fleet fleet(5, 3, 2);
    fleet.run(5s);
    fleet.paused.insert(hostNumber(3));
    fleet.run(10s);
    CHECK(fleet.stateOf(1, 3) == std::nullopt);
    CHECK_FALSE(fleet.at(3).isFresh(fleet.now));
    fleet.at(3).takeEvents();
    fleet.paused.clear();
    fleet.run(10ms);

    SUBCASE("detects the pause at once")
    {
        CHECK(fleet.hasEvent(3, MembershipEventKind::WokeLate, hostNumber(3)));
        CHECK_FALSE(fleet.at(3).isFresh(fleet.now));
    }
    SUBCASE("rejoins, suspects no other host and has a fresh view after its peers have confirmed it")
    {
        fleet.run(2s);
        CHECK(fleet.at(3).isFresh(fleet.now));
        for (int number = 1; number <= 5; ++number) {
            CHECK(fleet.stateOf(number, 3) == HostState::Alive);
            CHECK_FALSE(fleet.hasEvent(number, MembershipEventKind::Suspected, hostNumber(1)));
        }
    }
}

TEST_CASE("an availability zone that is partitioned from the others")
{
    Fleet fleet(6, 3, 3);
    fleet.run(5s);
    const std::set<int> zone{1, 4};
    for (int number = 1; number <= 6; ++number) {
        for (const int inside : zone) {
            if (zone.count(number) == 0) {
                fleet.network.cut(hostNumber(number), hostNumber(inside));
                fleet.network.cut(hostNumber(inside), hostNumber(number));
            }
        }
    }
    fleet.run(15s);

    SUBCASE("is reported once as a lost zone")
    {
        std::size_t lost = 0;
        for (const auto &event : fleet.at(2).takeEvents()) {
            if (event.kind == MembershipEventKind::ZoneLost) {
                CHECK(event.zone.name == "zone1");
                ++lost;
            }
        }
        CHECK(lost == 1);
    }
    SUBCASE("leaves each side with the hosts that it can reach")
    {
        CHECK(fleet.at(1).view().members.size() == 2);
        CHECK(fleet.at(2).view().members.size() == 4);
    }
    SUBCASE("rejoins when the partition heals")
    {
        fleet.network.healAll();
        fleet.run(8s);
        for (int number = 1; number <= 6; ++number) {
            CHECK(fleet.at(number).view().members.size() == 6);
        }
    }
}

TEST_CASE("a host that restarts among 300 while a fifth of the messages are lost")
{
    Fleet fleet(300, 3, 4);
    fleet.run(30s);
    fleet.network.setConditions(NetworkConditions{1ms, 3ms, 0.2, 0.0});
    fleet.start(2, 2000);
    fleet.run(6s);

    SUBCASE("sees the fleet within six seconds")
    {
        CHECK(fleet.at(2).view().members.size() >= 290);
    }
}
