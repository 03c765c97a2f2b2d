#include "steering/liveness.h"
#include "steering_fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::steering_test;

// Guards against resets of open flows while an entry under the upstream's id names a service that no configuration has.
TEST_CASE("an upstream whose entry names an unknown service")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    auto config = configOf(2, {routeTo(kRegistry, "registry"), routeTo(kGallery, "gallery")});
    config.services = {"registry", "gallery"};
    REQUIRE(steering.applyConfig(config));
    directory.apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    steering.onPacket(client.syn(), at(0s));
    steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-1"))), at(10ms));
    client.receive(tokenOf("i-1"));
    directory.apply(entryOf("i-1", 7, "novel", "a", 5), at(1s));

    SUBCASE("keeps its flows at its address, and gets no new one")
    {
        CHECK(steering.onPacket(client.request(), at(1s)) == SteeringDecision{SteeringAction::Forward, SteeringReason::KnownFlow, 0});
        CHECK(directory.at(0).entry.address == entryOf("i-1", 1).address);
        CHECK(steering.onPacket(Client(40002).syn(), at(1s)).reason == SteeringReason::NoUpstream);
        SUBCASE("and is used again with its next good entry")
        {
            directory.apply(entryOf("i-1", 1, "registry", "a", 6), at(2s));
            CHECK(steering.onPacket(client.acknowledgeResponse(), at(2s)).action == SteeringAction::Forward);
            CHECK(steering.onPacket(Client(40002).syn(), at(2s)).upstream == 0);
            CHECK(directory.parked().empty());
        }
        SUBCASE("and not with an older entry")
        {
            CHECK_FALSE(directory.apply(entryOf("i-1", 1, "registry", "a", 4), at(2s)));
            CHECK(directory.listedCount() == 0);
        }
    }
    SUBCASE("moves to the service once a configuration names it")
    {
        config.version = 3;
        config.services.push_back("novel");
        config.routes.push_back(routeTo(kUnrouted, "novel"));
        REQUIRE(steering.applyConfig(config));
        steering.tick(at(2s));
        CHECK(steering.onPacket(Client(40002, kUnrouted).syn(), at(2s)).upstream == 0);
        CHECK(directory.at(0).entry.service == "novel");
    }
    SUBCASE("is forgotten when the platform removes the entry")
    {
        SUBCASE("by a change")
        {
            directory.remove("i-1", {1, 6}, at(2s));
        }
        SUBCASE("found by a complete read")
        {
            directory.removeUnlisted({}, {1, 6}, at(2s));
        }
        CHECK(directory.parked().empty());
        CHECK(steering.onPacket(client.request(), at(2s)).action == SteeringAction::Forward);
    }
    SUBCASE("under a new id leaves the upstream at its address alone")
    {
        directory.apply(entryOf("i-1", 1, "registry", "a", 6), at(2s));
        auto other = entryOf("i-2", 1, "novel", "a", 7);
        other.number = 2;
        other.startMs = 5000;
        directory.apply(other, at(2s));
        CHECK(directory.contestCount() == 0);
        CHECK(steering.onPacket(Client(40003).syn(), at(2s)).upstream == 0);
    }
}

// Guards against resets of open flows, and an upstream that gets no more, because of an entry alone.
TEST_CASE("an upstream whose address another entry has")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    steering.onPacket(client.syn(), at(0s));
    steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-1"))), at(10ms));
    steering.onPacket(client.request(), at(20ms));
    client.receive(tokenOf("i-1"));
    auto next = entryOf("i-2", 1, "gallery", "a", 5);
    next.number = 2;
    next.startMs = 2000;
    const auto openAt = [&](std::uint16_t port, const Endpoint &route, const std::string &id, Duration when) {
        Client other(port, route);
        const auto upstream = steering.onPacket(other.syn(), at(when)).upstream;
        steering.onPacket(other.acknowledge(Client::synAckToken(tokenOf(id))), at(when + 10ms));
        return upstream;
    };

    SUBCASE("keeps its flows and gets new ones while it responds")
    {
        steering.onPacket(client.acknowledgeResponse(), at(900ms));
        directory.apply(next, at(1s));
        CHECK(directory.contestCount() == 1);
        CHECK(steering.onPacket(client.request(), at(1s)) == SteeringDecision{SteeringAction::Forward, SteeringReason::KnownFlow, 0});
        CHECK(steering.onPacket(Client(40002).syn(), at(1s)).upstream == 0);
        SUBCASE("and is not contested any more once it has completed a handshake that began after the claim")
        {
            CHECK(openAt(40003, kRegistry, "i-1", 1s) == 0);
            CHECK(directory.at(1).presence == Presence::Listed);
            CHECK(openAt(40004, kRegistry, "i-1", 1s + kOpeningTime) == 0);
            CHECK(directory.at(1).presence == Presence::Replaced);
            CHECK(steering.onPacket(Client(40005, kGallery).syn(), at(4s)).action == SteeringAction::Reset);
        }
        SUBCASE("and while the other entry changes")
        {
            next.draining = true;
            next.revision = {1, 6};
            directory.apply(next, at(1100ms));
            CHECK(directory.contestCount() == 1);
            CHECK(steering.onPacket(Client(40006).syn(), at(1100ms)).upstream == 0);
        }
    }
    SUBCASE("keeps its flows if it has not responded lately, and gets one new flow as a trial")
    {
        directory.apply(entryOf("i-3", 3), at(0s));
        directory.apply(next, at(5s));
        CHECK(steering.onPacket(client.retransmit(), at(5s)).action == SteeringAction::Forward);
        CHECK(steering.onPacket(Client(40002).syn(), at(5s)).upstream == 1);
        CHECK(openAt(40003, kRegistry, "i-1", 5s + kTrialInterval) == 0);
        CHECK_FALSE(directory.at(0).liveness.suspectedAt);
    }
    SUBCASE("has its flows reset once the other one has completed a handshake there, and none reaches the other one")
    {
        directory.apply(next, at(5s));
        CHECK(steering.onPacket(client.retransmit(), at(5s)).upstream == 0);
        CHECK(openAt(40002, kGallery, "i-2", 5s) == 1);
        CHECK(directory.at(0).presence == Presence::Listed);
        CHECK(openAt(40003, kGallery, "i-2", 5s + kOpeningTime) == 1);
        CHECK(directory.at(0).presence == Presence::Replaced);
        CHECK(steering.onPacket(client.retransmit(), at(7s)) == SteeringDecision{SteeringAction::Reset, SteeringReason::UpstreamDown, 0});
        CHECK(steering.onPacket(client.retransmit(), at(7s)).action == SteeringAction::Reset);
    }
    SUBCASE("has its flows reset then also if the platform had removed it before")
    {
        directory.remove("i-1", {1, 3}, at(1s));
        directory.apply(next, at(5s));
        openAt(40002, kGallery, "i-2", 5s + kOpeningTime);
        CHECK(directory.at(0).presence == Presence::Replaced);
    }
    SUBCASE("gives way to one with an earlier start, as its clock may have jumped, if the service has no other")
    {
        next.startMs = 500;
        directory.apply(next, at(5s));
        CHECK(openAt(40002, kGallery, "i-2", 5s + kOpeningTime) == 1);
        CHECK(directory.at(0).presence == Presence::Replaced);
    }
    SUBCASE("accepts the packets of both if they have the same number")
    {
        next.number = 1;
        directory.apply(next, at(5s));
        CHECK(directory.contestCount() == 0);
        openAt(40002, kGallery, "i-2", 5s + kOpeningTime);
        CHECK(steering.onPacket(client.retransmit(), at(7s)).action == SteeringAction::Forward);
    }
}
