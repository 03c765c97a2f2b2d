#include "steering_fixture.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::steering_test;

TEST_CASE("a retransmitted SYN")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    const auto first = steering.onPacket(client.syn(), at(0s)).upstream;

    SUBCASE("goes to the same upstream if it is the only one")
    {
        CHECK(steering.onPacket(client.syn(), at(200ms)) == SteeringDecision{SteeringAction::Forward, SteeringReason::SynRepeated, first});
    }
    SUBCASE("goes to another upstream")
    {
        steering.directory().apply(entryOf("i-2", 2), at(0s));
        const auto again = steering.onPacket(client.syn(), at(200ms));
        CHECK(again.reason == SteeringReason::SynRerouted);
        CHECK(again.upstream != first);
        const auto tokenOfFirst = Client::synAckToken(steering.directory().at(first).token);
        const auto tokenOfSecond = Client::synAckToken(steering.directory().at(again.upstream).token);

        SUBCASE("and the flow stays with the upstream whose response the client accepted")
        {
            CHECK(steering.onPacket(client.acknowledge(tokenOfFirst), at(210ms)).upstream == first);
            CHECK(steering.onPacket(client.request(), at(210ms)).upstream == first);
        }
        SUBCASE("and a late response of the first upstream does not move the flow")
        {
            CHECK(steering.onPacket(client.acknowledge(tokenOfSecond), at(210ms)).upstream == again.upstream);
            client.acknowledge(tokenOfFirst);
            CHECK(steering.onPacket(client.request(), at(220ms)).upstream == again.upstream);
        }
        SUBCASE("and once the flow is open, each other upstream that got the SYN gets it again with the token of the flow's upstream")
        {
            const auto third = steering.onPacket(client.syn(), at(600ms)).upstream;
            CHECK(steering.takeSupersededSyns().empty());
            steering.onPacket(client.acknowledge(tokenOfSecond), at(610ms));
            CHECK(third == first);
            CHECK(steering.takeSupersededSyns() == std::vector<SupersededSyn>{{client.flow(), first, again.upstream}});
            steering.onPacket(client.request(), at(620ms));
            CHECK(steering.takeSupersededSyns().empty());
        }
        SUBCASE("and no upstream gets it again if the client gives up")
        {
            auto reset = client.syn();
            reset.syn = false;
            reset.rst = true;
            CHECK(steering.onPacket(reset, at(210ms)).action == SteeringAction::Forward);
            CHECK(steering.takeSupersededSyns().empty());
        }
    }
}

// Guards against packets of an open flow that go to another upstream which also responded to its SYN.
TEST_CASE("a flow whose SYN reached two upstreams, on a host that has not seen it")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    steering.directory().apply(entryOf("i-2", 2), at(0s));
    Client client(40001);
    client.acknowledge(Client::synAckToken(tokenOf("i-1")));

    SUBCASE("is left unanswered until its upstream has sent more than the SYN-ACK, as either may have the flow")
    {
        const SteeringDecision unanswered{SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
        CHECK(steering.onPacket(client.request(), at(0s)) == unanswered);
        CHECK(steering.onPacket(client.retransmit(), at(200ms)) == unanswered);
        SUBCASE("and then forwarded by the token of its upstream, whatever the other one sends")
        {
            client.receive(tokenOf("i-1"));
            CHECK(steering.onPacket(client.acknowledgeResponse(), at(210ms)).upstream == 0);
            client.receive(Client::synAckToken(tokenOf("i-2")));
            CHECK(steering.onPacket(client.request(), at(220ms)).upstream == 0);
        }
    }
    SUBCASE("is not led astray by a late SYN-ACK of the other upstream")
    {
        client.request();
        client.receive(tokenOf("i-1"));
        client.acknowledgeResponse();
        client.receive(Client::synAckToken(tokenOf("i-2")));
        const auto late = steering.onPacket(client.request(), at(0s));
        CHECK(late == SteeringDecision{SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream});
        SUBCASE("and goes on with the next packet of its own upstream")
        {
            client.receive(tokenOf("i-1"));
            CHECK(steering.onPacket(client.retransmit(), at(200ms)).upstream == 0);
        }
    }
    SUBCASE("keeps the token of its upstream if a copy of its SYN arrives late")
    {
        steering.onPacket(client.syn(), at(0s));
        steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-1"))), at(10ms));
        REQUIRE(steering.onPacket(client.syn(), at(20ms)).upstream == 0);
        CHECK(steering.tokenFor(client.syn(), 0) == tokenOf("i-1"));
    }
}

TEST_CASE("the token of a forwarded packet")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    Client client(40001);

    SUBCASE("is the opening token in a SYN and its copies")
    {
        steering.onPacket(client.syn(), at(0s));
        CHECK(steering.tokenFor(client.syn(), 0) == Client::synAckToken(tokenOf("i-1")));
        steering.onPacket(client.syn(), at(200ms));
        CHECK(steering.tokenFor(client.syn(), 0) == Client::synAckToken(tokenOf("i-1")));
        CHECK(Client::synAckToken(tokenOf("i-1")) != tokenOf("i-1"));
    }
    SUBCASE("is the upstream's own in a packet of an open flow")
    {
        CHECK(steering.tokenFor(client.acknowledge(Client::synAckToken(tokenOf("i-1"))), 0) == tokenOf("i-1"));
    }
}

TEST_CASE("a flow whose SYN was also placed by another host")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    steering.directory().apply(entryOf("i-2", 2), at(0s));
    Client client(40001);
    const auto here = steering.onPacket(client.syn(), at(0s)).upstream;
    const auto elsewhere = here == 0 ? 1U : 0U;
    const auto tokenOfElsewhere = Client::synAckToken(steering.directory().at(elsewhere).token);

    SUBCASE("goes to the upstream of the token in the client's next packet")
    {
        CHECK(steering.onPacket(client.acknowledge(tokenOfElsewhere), at(10ms)).upstream == elsewhere);
        CHECK(steering.onPacket(client.request(), at(20ms)).upstream == elsewhere);
        CHECK(steering.directory().at(here).flows == 0);
    }
    SUBCASE("is left unanswered while the token is of another service or unknown, as it may be open anywhere")
    {
        steering.directory().apply(entryOf("i-3", 3, "gallery"), at(0s));
        const SteeringDecision unanswered{SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
        CHECK(steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-3"))), at(10ms)) == unanswered);
        CHECK(steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-9"))), at(20ms)) == unanswered);
        client.receive(Client::synAckToken(steering.directory().at(here).token));
        CHECK(steering.onPacket(client.request(), at(30ms)).upstream == here);
    }
    SUBCASE("is recognised if the client's second packet overtakes its first")
    {
        client.acknowledge(tokenOfElsewhere);
        const auto firstPacket = client.request();
        CHECK(steering.onPacket(client.request(), at(10ms)).upstream == elsewhere);
        CHECK(steering.onPacket(firstPacket, at(11ms)).upstream == elsewhere);
    }
    SUBCASE("is left unanswered if it went on elsewhere and the token is that of a late SYN-ACK")
    {
        for (int requests = 0; requests < 200; ++requests) {
            client.request();
            client.acknowledgeResponse();
        }
        client.receive(Client::synAckToken(steering.directory().at(here).token));
        CHECK(steering.onPacket(client.request(), at(30ms)).reason == SteeringReason::UnknownToken);
        client.receive(steering.directory().at(elsewhere).token);
        CHECK(steering.onPacket(client.retransmit(), at(230ms)).upstream == elsewhere);
    }
    SUBCASE("is found by its token again after a late copy of the SYN")
    {
        for (std::uint16_t port = 40002; port < 40022; ++port) {
            Client other(port);
            other.acknowledge(steering.directory().at(elsewhere).flowToken);
            CHECK(steering.onPacket(other.request(), at(10ms)).upstream == elsewhere);
            steering.onPacket(other.syn(), at(20ms));
            CHECK(steering.onPacket(other.retransmit(), at(25ms)).upstream == elsewhere);
            CHECK(steering.onPacket(other.request(), at(30ms)).upstream == elsewhere);
        }
    }
    SUBCASE("stays on the upstream confirmed by a response, whatever token a late response to a copy of the SYN carries")
    {
        Client other(40002);
        other.acknowledge(steering.directory().at(elsewhere).flowToken);
        steering.onPacket(other.request(), at(10ms));
        steering.onPacket(other.acknowledgeResponse(), at(40ms));
        other.acknowledge(Client::synAckToken(steering.directory().at(here).token));
        CHECK(steering.onPacket(other.request(), at(50ms)).upstream == elsewhere);
    }
}

// Guards against packets of an open flow that a host takes to the upstream which got its own copy of the SYN, as that one's late SYN-ACK
// was the last packet that the client received.
TEST_CASE("a flow whose copies of the SYN went through two hosts")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    steering.directory().apply(entryOf("i-2", 2), at(0s));
    Client client(40001);
    const SteeringDecision unanswered{SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
    const auto other = [](UpstreamIndex upstream) { return upstream == 0 ? 1U : 0U; };
    const auto openingTokenOf = [&](UpstreamIndex upstream) { return Client::synAckToken(steering.directory().at(upstream).flowToken); };

    SUBCASE("is left unanswered on the host of the first copy while its token is that of a late SYN-ACK")
    {
        const auto here = steering.onPacket(client.syn(), at(0s)).upstream;
        client.acknowledge(openingTokenOf(other(here)));
        client.request();
        client.receive(openingTokenOf(here));
        CHECK(steering.onPacket(client.retransmit(), at(410ms)) == unanswered);
        CHECK(steering.onPacket(client.retransmit(), at(2s)) == unanswered);
        SUBCASE("and goes on with the next packet of its own upstream")
        {
            client.receive(steering.directory().at(other(here)).flowToken);
            CHECK(steering.onPacket(client.retransmit(), at(2s)).upstream == other(here));
        }
    }
    SUBCASE("is left unanswered on the host of the second copy while its token is that of a late SYN-ACK")
    {
        const auto here = steering.onPacket(client.syn(1), at(200ms)).upstream;
        client.acknowledge(openingTokenOf(other(here)));
        client.request();
        client.receive(openingTokenOf(here));
        CHECK(steering.onPacket(client.retransmit(), at(400ms)) == unanswered);
    }
    SUBCASE("is recognised by the client's first packets on the host of the second copy")
    {
        const auto here = steering.onPacket(client.syn(1), at(200ms)).upstream;
        SUBCASE("if it opened at that one's upstream")
        {
            CHECK(steering.onPacket(client.acknowledge(openingTokenOf(here)), at(210ms)).upstream == here);
        }
        SUBCASE("if it opened at the other one")
        {
            CHECK(steering.onPacket(client.acknowledge(openingTokenOf(other(here))), at(210ms)).upstream == other(here));
        }
    }
    SUBCASE("is left unanswered if the SYN had waited on this host until the client sent it again")
    {
        auto syn = client.syn();
        syn.waited = 190ms;
        const auto here = steering.onPacket(syn, at(190ms)).upstream;
        client.acknowledge(openingTokenOf(here));
        CHECK(steering.onPacket(client.request(), at(400ms)) == unanswered);
    }
}

TEST_CASE("a flow that is opened while the table is full")
{
    SteeringOptions options;
    options.maxFlows = 1;
    FlowSteering steering(options);
    steering.applyConfig(configOf(1, {routeTo(kRegistry, "registry")}));
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    Client first(40001);
    steering.onPacket(first.syn(), at(0s));
    steering.onPacket(first.acknowledge(Client::synAckToken(tokenOf("i-1"))), at(5ms));
    Client client(40002);
    steering.onPacket(client.syn(), at(10ms));

    SUBCASE("is remembered until its upstream has responded, and then found by its token")
    {
        CHECK(steering.onPacket(client.acknowledge(Client::synAckToken(tokenOf("i-1"))), at(15ms)).upstream == 0);
        CHECK(steering.onPacket(client.request(), at(15ms)).upstream == 0);
        CHECK(steering.flowCount() == 2);
        client.receive(tokenOf("i-1"));
        CHECK(steering.onPacket(client.acknowledgeResponse(), at(50ms)).reason == SteeringReason::KnownFlow);
        CHECK(steering.flowCount() == 1);
        CHECK(steering.onPacket(client.request(), at(60ms)).reason == SteeringReason::FoundByToken);
        CHECK(steering.flowCount() == 1);
    }
}

TEST_CASE("a flow whose SYN went to one upstream only, through one host")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    steering.onPacket(client.syn(), at(0s));
    const auto acknowledgement = client.acknowledge(Client::synAckToken(tokenOf("i-1")));

    SUBCASE("is recognised while no packet can have come that followed the next copy, through another host")
    {
        SUBCASE("after the first copy")
        {
            CHECK(steering.onPacket(acknowledgement, at(379ms)).upstream == 0);
        }
        SUBCASE("after the second")
        {
            steering.onPacket(client.syn(1), at(200ms));
            CHECK(steering.onPacket(acknowledgement, at(779ms)).upstream == 0);
        }
        SUBCASE("after the last one, until the client gives up")
        {
            steering.onPacket(client.syn(1), at(200ms));
            steering.onPacket(client.syn(2), at(600ms));
            CHECK(steering.onPacket(acknowledgement, at(1400ms)).upstream == 0);
        }
    }
    SUBCASE("is left unanswered afterwards")
    {
        CHECK(steering.onPacket(acknowledgement, at(401ms)).action == SteeringAction::Drop);
    }
    SUBCASE("is not recognised for as long if a copy did not reach this host")
    {
        steering.onPacket(client.syn(2), at(600ms));
        CHECK(steering.onPacket(acknowledgement, at(850ms)).action == SteeringAction::Drop);
    }
}
