#include "steering/life_signs.h"
#include "steering_fixture.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace medlarway;
using namespace medlarway::steering_test;

TEST_CASE("a client's packet")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    Client client(40001);

    SUBCASE("to an address of no route")
    {
        Client stray(40002, kUnknown);
        SUBCASE("is reset at once")
        {
            CHECK(steering.onPacket(stray.open(), at(0s)) == SteeringStep{SteeringAction::Reset, SteeringReason::NoRoute, kNoUpstream});
        }
        SUBCASE("is dropped while a newer configuration may have the route")
        {
            steering.setCertainUntil(at(0s));
            CHECK(steering.onPacket(stray.open(), at(1s)).reason == SteeringReason::RouteUnsure);
            CHECK(steering.onPacket(stray.open(), at(1s)).action == SteeringAction::Drop);
        }
    }
    SUBCASE("is dropped before the first configuration")
    {
        FlowSteering fresh{SteeringOptions{}};
        CHECK(fresh.onPacket(client.open(), at(0s)) == SteeringStep{SteeringAction::Drop, SteeringReason::NotReady, kNoUpstream});
    }
    SUBCASE("that opens a flow goes to an upstream of the route's service only")
    {
        Client other(40002, kGallery);
        CHECK(steering.onPacket(client.open(), at(0s)) == SteeringStep{SteeringAction::Forward, SteeringReason::Opened, 0});
        CHECK(steering.onPacket(other.open(), at(0s)) == SteeringStep{SteeringAction::Reset, SteeringReason::NoUpstream, kNoUpstream});
    }
    SUBCASE("of a flow that this host never saw")
    {
        directory.apply(entryOf("i-2", 2, "gallery"), at(0s));
        SUBCASE("goes where its token says")
        {
            client.acknowledge(tokenOf("i-1"));
            CHECK(steering.onPacket(client.request(), at(0s)) == SteeringStep{SteeringAction::Forward, SteeringReason::FoundByToken, 0});
            CHECK(steering.onPacket(client.again(), at(0s)).reason == SteeringReason::Carried);
        }
        SUBCASE("is not sent to another service that the token names")
        {
            client.acknowledge(tokenOf("i-2"));
            CHECK(steering.onPacket(client.request(), at(0s)).reason == SteeringReason::ForeignToken);
            CHECK(steering.onPacket(client.request(), at(0s)).action == SteeringAction::Drop);
        }
        SUBCASE("is dropped without a token or with one that no entry explains")
        {
            CHECK(steering.onPacket(client.request(), at(0s)).reason == SteeringReason::NoToken);
            client.acknowledge(tokenOf("i-9"));
            CHECK(steering.onPacket(client.request(), at(0s)).reason == SteeringReason::UnknownToken);
        }
    }
    SUBCASE("of a flow whose route moved to another service still goes where the flow is")
    {
        directory.apply(entryOf("i-2", 2, "gallery"), at(0s));
        steering.applyConfig(configOf(2, {routeTo(kFeed, "gallery")}));
        client.acknowledge(tokenOf("i-1"));
        CHECK(steering.onPacket(client.request(), at(0s)).upstream == 0);
        CHECK(steering.onPacket(Client(40002).open(), at(0s)).upstream == 1);
    }
    SUBCASE("of a flow whose route went and came back with another service never reaches the first")
    {
        directory.apply(entryOf("i-2", 2, "gallery"), at(0s));
        steering.onPacket(client.open(), at(0s));
        steering.applyConfig(configOf(2, {}));
        steering.applyConfig(configOf(3, {routeTo(kFeed, "gallery")}));
        SUBCASE("where the opening comes again")
        {
            CHECK(steering.onPacket(client.open(), at(200ms)) == SteeringStep{SteeringAction::Forward, SteeringReason::Opened, 1});
        }
        SUBCASE("where the flow goes on")
        {
            const auto step = steering.onPacket(client.acknowledge(tokenOf("i-1")), at(10ms));
            CHECK(step == SteeringStep{SteeringAction::Reset, SteeringReason::RouteChanged, kNoUpstream});
        }
    }
    SUBCASE("of an open flow on a route that this host has not read yet is left unanswered: another host knows more")
    {
        Client ahead(40003, kUnknown);
        ahead.acknowledge(tokenOf("i-1"));
        CHECK(steering.onPacket(ahead.request(), at(0s)) == SteeringStep{SteeringAction::Drop, SteeringReason::RouteUnsure, kNoUpstream});
        SUBCASE("and carried on once it has")
        {
            steering.applyConfig(configOf(2, {routeTo(kFeed, "registry"), routeTo(kUnknown, "registry")}));
            CHECK(steering.onPacket(ahead.again(), at(200ms)).upstream == 0);
            SUBCASE("and reset once the route went")
            {
                steering.applyConfig(configOf(3, {routeTo(kFeed, "registry")}));
                CHECK(steering.onPacket(ahead.again(), at(400ms))
                      == SteeringStep{SteeringAction::Reset, SteeringReason::NoRoute, kNoUpstream});
            }
        }
    }
    SUBCASE("of a flow whose route went is reset")
    {
        steering.onPacket(client.open(), at(0s));
        steering.onPacket(client.acknowledge(tokenOf("i-1")), at(0s));
        steering.applyConfig(configOf(2, {routeTo(kGallery, "gallery")}));
        CHECK(steering.onPacket(client.request(), at(0s)).action == SteeringAction::Reset);
        CHECK(steering.flowCount() == 0);
    }
}

TEST_CASE("an opening that is sent again")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    const auto first = steering.onPacket(client.open(), at(0s)).upstream;

    SUBCASE("goes to the only upstream there is")
    {
        CHECK(steering.onPacket(client.open(), at(200ms)) == SteeringStep{SteeringAction::Forward, SteeringReason::OpenedLike, first});
    }
    SUBCASE("goes to another upstream")
    {
        steering.directory().apply(entryOf("i-2", 2), at(0s));
        const auto again = steering.onPacket(client.open(), at(200ms));
        CHECK(again.reason == SteeringReason::OpenedAgain);
        CHECK(again.upstream != first);
        const auto tokenOfFirst = steering.directory().at(first).token;
        const auto tokenOfSecond = steering.directory().at(again.upstream).token;

        SUBCASE("and the flow is where the client takes the answer")
        {
            CHECK(steering.onPacket(client.acknowledge(tokenOfFirst), at(210ms)).upstream == first);
            CHECK(steering.onPacket(client.request(), at(210ms)).upstream == first);
        }
        SUBCASE("and a late answer of the first does not move the flow")
        {
            CHECK(steering.onPacket(client.acknowledge(tokenOfSecond), at(210ms)).upstream == again.upstream);
            client.acknowledge(tokenOfFirst);
            CHECK(steering.onPacket(client.request(), at(220ms)).upstream == again.upstream);
        }
    }
}

TEST_CASE("an opening that another host placed as well")
{
    auto steering = makeSteering();
    steering.directory().apply(entryOf("i-1", 1), at(0s));
    steering.directory().apply(entryOf("i-2", 2), at(0s));
    Client client(40001);
    const auto here = steering.onPacket(client.open(), at(0s)).upstream;
    const auto there = here == 0 ? 1U : 0U;
    const auto tokenOfThere = steering.directory().at(there).token;

    SUBCASE("is where the client's first packet says that it is")
    {
        CHECK(steering.onPacket(client.acknowledge(tokenOfThere), at(10ms)).upstream == there);
        CHECK(steering.onPacket(client.request(), at(20ms)).upstream == there);
        CHECK(steering.directory().at(here).flows == 0);
    }
    SUBCASE("stays here where the token is of another service, or of nobody known")
    {
        steering.directory().apply(entryOf("i-3", 3, "gallery"), at(0s));
        CHECK(steering.onPacket(client.acknowledge(tokenOf("i-3")), at(10ms)).upstream == here);
        CHECK(steering.onPacket(client.acknowledge(tokenOf("i-9")), at(20ms)).upstream == here);
    }
    SUBCASE("is found again after a late copy of it came when the flow was open")
    {
        for (std::uint16_t port = 40002; port < 40022; ++port) {
            Client other(port);
            other.acknowledge(tokenOfThere);
            CHECK(steering.onPacket(other.request(), at(10ms)).upstream == there);
            steering.onPacket(other.open(), at(20ms));
            CHECK(steering.onPacket(other.request(), at(30ms)).upstream == there);
        }
    }
    SUBCASE("stays where an answer showed that it is, whatever a late answer to a copy brings")
    {
        Client other(40002);
        other.acknowledge(tokenOfThere);
        steering.onPacket(other.request(), at(10ms));
        steering.onPacket(other.takeAnswer(), at(40ms));
        other.acknowledge(steering.directory().at(here).token);
        CHECK(steering.onPacket(other.request(), at(50ms)).upstream == there);
    }
}

TEST_CASE("an upstream")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    steering.onPacket(client.open(), at(0s));
    steering.onPacket(client.acknowledge(tokenOf("i-1")), at(10ms));
    steering.onPacket(client.request(), at(20ms));

    SUBCASE("that drains gets no new flow and keeps its own")
    {
        auto draining = entryOf("i-1", 1, "registry", "a", 2);
        draining.draining = true;
        directory.apply(draining, at(1s));
        CHECK(steering.onPacket(client.again(), at(1s)).action == SteeringAction::Forward);
        CHECK(steering.onPacket(Client(40002).open(), at(1s)).reason == SteeringReason::NoUpstream);
    }
    SUBCASE("that is no longer listed")
    {
        directory.remove("i-1", 2, at(1s));
        SUBCASE("keeps a flow that moves")
        {
            CHECK(steering.onPacket(client.takeAnswer(), at(1s)).action == SteeringAction::Forward);
            CHECK(steering.onPacket(client.request(), at(1s)).action == SteeringAction::Forward);
        }
        SUBCASE("is suspected for one flow that gets no answer, and loses it once no connection can be made")
        {
            CHECK(steering.onPacket(client.again(), at(1s)).action == SteeringAction::Forward);
            CHECK(steering.takeNews() == std::vector<SteeringNews>{{0, SteeringNewsKind::Suspected}});
            CHECK(steering.giveUp(0, at(1s)).size() == 1);
            CHECK(steering.onPacket(client.again(), at(1s)) == SteeringStep{SteeringAction::Reset, SteeringReason::UpstreamEnded, 0});
        }
        SUBCASE("and is listed again takes new flows")
        {
            directory.apply(entryOf("i-1", 1, "registry", "a", 3), at(2s));
            CHECK(steering.onPacket(Client(40002).open(), at(2s)).upstream == 0);
        }
        SUBCASE("is not listed by a late word from before")
        {
            directory.apply(entryOf("i-1", 1, "registry", "a", 1), at(2s));
            CHECK(directory.listedCount() == 0);
        }
    }
    SUBCASE("whose address another one has ends its flows, and none reaches the other")
    {
        auto next = entryOf("i-2", 1, "gallery", "a", 5);
        next.born = 2000;
        directory.apply(next, at(1s));
        CHECK(directory.at(0).presence == Presence::Replaced);
        CHECK(steering.onPacket(client.takeAnswer(), at(1s)).action == SteeringAction::Reset);
        client.acknowledge(tokenOf("i-1"));
        CHECK(steering.onPacket(client.request(), at(1s)).action == SteeringAction::Reset);
    }
    SUBCASE("keeps its address and its flows where an entry of a service that does not exist names them")
    {
        auto config = configOf(2, {routeTo(kFeed, "registry"), routeTo(kGallery, "gallery")});
        config.services = {"registry", "gallery"};
        REQUIRE(steering.applyConfig(config));
        auto forged = entryOf("i-2", 1, "nobody", "a", 5);
        forged.born = 2000;
        directory.apply(forged, at(1s));
        CHECK(directory.at(0).presence == Presence::Listed);
        CHECK(steering.onPacket(client.takeAnswer(), at(1s)) == SteeringStep{SteeringAction::Forward, SteeringReason::Carried, 0});
    }
    SUBCASE("that starts again under its id at another address frees the first address")
    {
        auto moved = entryOf("i-1", 7, "registry", "a", 5);
        moved.born = 2000;
        directory.apply(moved, at(1s));
        directory.apply(entryOf("i-2", 1, "registry", "a", 6), at(1s));
        CHECK(directory.listedCount() == 2);
    }
}

TEST_CASE("an upstream that answers nobody")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    auto clients = askAll(steering, 4);
    directory.apply(entryOf("i-2", 2, "registry", "b"), at(20ms));
    const auto stallAll = [&](std::size_t count, Duration when) {
        for (std::size_t row = 0; row < count; ++row) {
            steering.onPacket(clients[row].again(), at(when));
        }
    };

    SUBCASE("is not suspected for one client that sends again and again")
    {
        stallAll(1, 300ms);
        stallAll(1, 700ms);
        stallAll(1, 1500ms);
        CHECK_FALSE(directory.at(0).life.suspectedAt);
    }
    SUBCASE("is suspected once several flows stall, and new flows go elsewhere")
    {
        stallAll(3, 300ms);
        CHECK(directory.at(0).life.suspectedAt == at(300ms));
        CHECK(steering.takeNews() == std::vector<SteeringNews>{{0, SteeringNewsKind::Suspected}});
        CHECK(steering.onPacket(Client(50).open(), at(300ms)).upstream == 1);
        CHECK(steering.onPacket(clients[0].again(), at(300ms)).upstream == 0);

        SUBCASE("but for one trial in each interval")
        {
            CHECK(steering.onPacket(Client(51).open(), at(300ms + kTrialInterval)).upstream == 0);
            CHECK(steering.onPacket(Client(52).open(), at(300ms + kTrialInterval)).upstream == 1);
        }
        SUBCASE("until one client shows an answer")
        {
            steering.onPacket(clients[3].takeAnswer(), at(400ms));
            CHECK_FALSE(directory.at(0).life.suspectedAt);
            CHECK(steering.takeNews().back() == SteeringNews{0, SteeringNewsKind::Answers});
            CHECK(steering.onPacket(Client(50).open(), at(400ms)).upstream == 0);
        }
    }
    SUBCASE("is looked at again while flows go on stalling, as it may have ended after the first look")
    {
        stallAll(3, 300ms);
        steering.takeNews();
        stallAll(3, 500ms);
        CHECK(steering.takeNews().empty());
        stallAll(3, 300ms + kProbeInterval);
        CHECK(steering.takeNews() == std::vector<SteeringNews>{{0, SteeringNewsKind::StillSuspected}});
        steering.giveUp(0, at(900ms));
        steering.onPacket(clients[0].again(), at(1s));
        CHECK(steering.takeNews().empty());
    }
    SUBCASE("gets flows all the same where every other one is suspected too")
    {
        directory.remove("i-2", 2, at(100ms));
        stallAll(3, 300ms);
        CHECK(steering.onPacket(Client(50).open(), at(300ms)).upstream == 0);
    }
}

TEST_CASE("an upstream that can't be connected to")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    auto clients = askAll(steering, 4);

    SUBCASE("loses no flow while clients show answers")
    {
        CHECK(steering.giveUp(0, at(30ms)).empty());
        CHECK(steering.onPacket(clients[0].again(), at(300ms)).action == SteeringAction::Forward);
    }
    SUBCASE("loses every open flow once it is suspected, those without a request too")
    {
        steering.onPacket(clients[3].takeAnswer(), at(30ms));
        Client opening(60);
        steering.onPacket(opening.open(), at(200ms));
        for (std::size_t row = 0; row < 3; ++row) {
            steering.onPacket(clients[row].again(), at(300ms));
        }
        REQUIRE(directory.at(0).life.suspectedAt);
        const auto flows = steering.giveUp(0, at(300ms));
        CHECK(flows.size() == 4);
        CHECK(steering.findFlow(opening.flow()) != nullptr);
        CHECK(directory.at(0).running == 0);

        SUBCASE("and their next packets are reset, as the first reset may be lost")
        {
            CHECK(steering.onPacket(clients[0].again(), at(600ms))
                  == SteeringStep{SteeringAction::Reset, SteeringReason::UpstreamEnded, 0});
        }
        SUBCASE("but not long after, as it may be back: a flow must stall and connections fail again")
        {
            CHECK(kUnreachableLife < 4s); // for so long a link that has healed still counts as disturbed
            const auto later = 300ms + kUnreachableLife;
            Client moved(70); // opened through another host
            moved.acknowledge(tokenOf("i-1"));
            CHECK(steering.onPacket(moved.request(), at(later)).action == SteeringAction::Forward);
            steering.takeNews();
            CHECK(steering.onPacket(moved.again(), at(later + 200ms)).action == SteeringAction::Forward);
            CHECK(steering.takeNews() == std::vector<SteeringNews>{{0, SteeringNewsKind::StillSuspected}});
            CHECK(steering.giveUp(0, at(later + 400ms)).size() == 1);
            CHECK(steering.onPacket(moved.again(), at(later + 500ms)).action == SteeringAction::Reset);
        }
        SUBCASE("until a client shows an answer to a trial")
        {
            steering.onPacket(opening.acknowledge(tokenOf("i-1")), at(2s));
            CHECK(steering.onPacket(opening.request(), at(2s)).action == SteeringAction::Forward);
            CHECK(steering.onPacket(Client(61).open(), at(2s)).upstream == 0);
        }
    }
}

TEST_CASE("another availability zone")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    for (std::uint32_t row = 1; row <= 3; ++row) {
        directory.apply(entryOf(fmt::format("i-{}", row), row, "registry", "b"), at(0s));
    }
    // One flow to each upstream, known by their tokens.
    std::vector<Client> clients;
    const auto openFlow = [&](std::uint16_t port, const std::string &id) {
        clients.emplace_back(port);
        clients.back().acknowledge(tokenOf(id));
        steering.onPacket(clients.back().request(), at(0s));
    };
    const auto suspected = [&] {
        return std::count_if(directory.all().begin(), directory.all().end(),
                             [](const auto &row) { return row.life.suspectedAt.has_value(); });
    };

    SUBCASE("is suspected as a whole where single flows of several upstreams stall")
    {
        openFlow(1, "i-1");
        openFlow(2, "i-2");
        openFlow(3, "i-2");
        for (const auto &client : clients) {
            steering.onPacket(client.again(), at(300ms));
        }
        CHECK(suspected() == 3);
        CHECK(steering.takeNews().size() == 3);
    }
    SUBCASE("is not where one upstream alone stalls")
    {
        for (std::uint16_t port = 1; port <= 4; ++port) {
            openFlow(port, "i-1");
        }
        for (const auto &client : clients) {
            steering.onPacket(client.again(), at(300ms));
        }
        CHECK(suspected() == 1);
    }
    SUBCASE("is not where one of its upstreams answers")
    {
        openFlow(1, "i-1");
        openFlow(2, "i-2");
        openFlow(3, "i-3");
        steering.onPacket(clients[0].again(), at(200ms));
        steering.onPacket(clients[1].again(), at(220ms));
        steering.onPacket(clients[2].takeAnswer(), at(280ms));
        steering.onPacket(clients[0].again(), at(600ms));
        CHECK(suspected() == 0);
    }
}

TEST_CASE("the load of an upstream")
{
    auto steering = makeSteering();
    auto &directory = steering.directory();
    directory.apply(entryOf("i-1", 1), at(0s));
    Client client(40001);
    steering.onPacket(client.open(), at(0s));
    steering.onPacket(client.acknowledge(tokenOf("i-1")), at(10ms));

    SUBCASE("counts a request until its answer")
    {
        CHECK(directory.at(0).running == 0);
        steering.onPacket(client.request(), at(20ms));
        steering.onPacket(client.again(), at(220ms));
        CHECK(directory.at(0).running == 1);
        steering.onPacket(client.takeAnswer(), at(230ms));
        CHECK(directory.at(0).running == 0);
    }
    SUBCASE("ends with the flow")
    {
        steering.onPacket(client.request(), at(20ms));
        steering.onPacket(client.finish(), at(30ms));
        CHECK(directory.at(0).running == 0);
        CHECK(directory.at(0).expected == doctest::Approx(0));
        steering.tick(at(30ms + 10s));
        CHECK(steering.flowCount() == 0);
        CHECK(directory.at(0).flows == 0);
    }
    SUBCASE("follows what the flows of the route run, however old they are")
    {
        steering.onPacket(client.request(), at(20ms));
        for (int step = 1; step <= 60; ++step) {
            steering.tick(at(kSteeringTick * step));
        }
        const auto busy = directory.at(0).expected;
        steering.onPacket(client.takeAnswer(), at(12s + 10ms));
        for (int step = 61; step <= 120; ++step) {
            steering.onPacket(client.takeAnswer(), at(kSteeringTick * step));
            steering.tick(at(kSteeringTick * step));
        }
        CHECK(busy > 0.5);
        CHECK(directory.at(0).expected < busy / 2);
    }
    SUBCASE("of a flow that was never opened is forgotten soon")
    {
        steering.onPacket(Client(40002).open(), at(0s));
        CHECK(directory.at(0).flows == 2);
        steering.tick(at(4s));
        CHECK(directory.at(0).flows == 1);
    }
}
