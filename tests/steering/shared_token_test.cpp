#include "steering/snapshot.h"
#include "steering_fixture.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace medlarway;
using namespace medlarway::steering_test;

namespace
{

struct IdPair {
    std::string first;
    std::string second;
};

// Two ids with the same first token. Of a million ids, more than a hundred pairs have one.
IdPair findPair()
{
    boost::unordered_flat_map<FlowToken, std::string> byToken;
    for (int number = 0; number < 1'000'000; ++number) {
        auto id = fmt::format("i-{:010x}", number);
        const auto [known, isNew] = byToken.try_emplace(tokenOf(id), id);
        if (!isNew) {
            return {known->second, id};
        }
    }
    return {};
}

// The token that a host writes into the packets of a new flow, which it sends to the only upstream that does not drain.
FlowToken openThrough(FlowSteering &host, Client &client, UpstreamIndex upstream)
{
    REQUIRE(host.onPacket(client.syn(), at(0s)).upstream == upstream);
    const auto syn = host.tokenFor(client.syn(), upstream);
    const auto acknowledgement = client.acknowledge(syn);
    REQUIRE(host.onPacket(acknowledgement, at(10ms)).upstream == upstream);
    return host.tokenFor(acknowledgement, upstream);
}

} // namespace

// Guards against packets of open flows that are sent to another upstream whose id has the same token.
TEST_CASE("upstreams whose ids have the same token")
{
    static const auto kIds = findPair();
    REQUIRE(tokenOf(kIds.first) == tokenOf(kIds.second));
    const auto first = entryOf(kIds.first, 1);
    const auto second = entryOf(kIds.second, 2);
    const SteeringDecision unanswered{SteeringAction::Drop, SteeringReason::SharedToken, kNoUpstream};
    auto host = makeSteering();
    Client early(40001); // its flow was opened by a host that knew one of them only
    early.acknowledge(tokenOf(kIds.first));

    SUBCASE("are not told apart by it on a host that has not seen the flow")
    {
        bool firstComesFirst = true;
        SUBCASE("and learned of them in one order") { }
        SUBCASE("and learned of them in the other order")
        {
            firstComesFirst = false;
        }
        host.directory().apply(firstComesFirst ? first : second, at(0s));
        host.directory().apply(firstComesFirst ? second : first, at(0s));
        CHECK(host.onPacket(early.request(), at(0s)) == unanswered);
    }
    SUBCASE("are not told apart after one has left, as its flows may go on")
    {
        host.directory().apply(first, at(0s));
        host.directory().apply(second, at(0s));
        std::string left = kIds.first;
        SUBCASE("which is the first one") { }
        SUBCASE("which is the second one")
        {
            left = kIds.second;
        }
        host.directory().remove(left, {1, 5}, at(1s));
        host.tick(at(2s));
        CHECK(host.onPacket(early.request(), at(2s)) == unanswered);
        CHECK(host.onPacket(early.request(), at(kTombstoneDuration)) == unanswered);
        host.tick(at(kTombstoneDuration + 2s)); // no flow can be left
        CHECK(host.onPacket(early.request(), at(kTombstoneDuration + 2s)).reason == SteeringReason::FoundByToken);
    }
    SUBCASE("keep the flows that a host knows")
    {
        host.directory().apply(first, at(0s));
        Client client(40002);
        CHECK(openThrough(host, client, 0) == tokenOf(kIds.first));
        host.directory().apply(second, at(1s));
        CHECK(host.onPacket(client.request(), at(1s)) == SteeringDecision{SteeringAction::Forward, SteeringReason::KnownFlow, 0});
    }
    SUBCASE("have flows that every host finds by their tokens, if they were opened once both were known")
    {
        auto drained = first;
        drained.draining = true;
        host.directory().apply(drained, at(0s));
        host.directory().apply(second, at(0s));
        Client client(40002);
        const auto token = openThrough(host, client, 1);
        client.receive(token);
        auto other = makeSteering();
        SUBCASE("on a host that knows both")
        {
            other.directory().apply(first, at(0s));
            other.directory().apply(second, at(0s));
            CHECK(other.onPacket(client.request(), at(1s)).upstream == 1);
        }
        SUBCASE("on one that has started since the first left")
        {
            other.directory().apply(second, at(0s));
            CHECK(other.onPacket(client.request(), at(1s)).upstream == 0);
        }
        SUBCASE("and not on one that does not know the second yet")
        {
            other.directory().apply(first, at(0s));
            CHECK(other.onPacket(client.request(), at(1s)).reason == SteeringReason::UnknownToken);
        }
    }
    SUBCASE("are not told apart on a host that can't use the entry of one of them")
    {
        host.directory().apply(second, at(0s));
        SUBCASE("as it is invalid")
        {
            host.directory().remove(kIds.first, {1, 5}, at(0s));
        }
        SUBCASE("as its service does not exist yet")
        {
            auto config = configOf(2, {routeTo(kRegistry, "registry")});
            config.services = {"registry"};
            host.applyConfig(config);
            host.directory().apply(entryOf(kIds.first, 1, "gallery"), at(0s));
        }
        CHECK(host.onPacket(early.request(), at(0s)) == unanswered);
    }
    SUBCASE("are not told apart on a host that started after one has left, once another host tells of that one")
    {
        host.directory().apply(first, at(0s));
        host.directory().apply(second, at(0s));
        host.directory().remove(kIds.first, {1, 5}, at(10s));
        const auto told = takeFormerUpstreams(host, at(30s));
        CHECK(told == std::vector<FormerUpstream>{{kIds.first, 20s}});
        CHECK(invalidFormer(told).empty());

        auto started = makeSteering();
        started.directory().apply(second, at(29s));
        started.directory().recordFormer(kIds.first, at(30s) - told.front().ago);
        CHECK(started.onPacket(early.request(), at(30s)) == unanswered);
        SUBCASE("and tells it further, with the time since it left")
        {
            CHECK(takeFormerUpstreams(started, at(40s)) == std::vector<FormerUpstream>{{kIds.first, 30s}});
            started.tick(at(10s + kTombstoneDuration));
            CHECK(takeFormerUpstreams(started, at(10s + kTombstoneDuration)).empty());
        }
    }
    SUBCASE("are not told of while they are listed, or if no other one has their token")
    {
        host.directory().apply(first, at(0s));
        host.directory().apply(second, at(0s));
        host.directory().apply(entryOf("i-3", 3), at(0s));
        host.directory().remove("i-3", {1, 5}, at(1s));
        CHECK(takeFormerUpstreams(host, at(2s)).empty());
    }
}

TEST_CASE("a list of former upstreams from another host")
{
    CHECK(invalidFormer(std::vector<FormerUpstream>{{"i-1", 1s}}).empty());
    CHECK_FALSE(invalidFormer(std::vector<FormerUpstream>{{"", 1s}}).empty());
    CHECK_FALSE(invalidFormer(std::vector<FormerUpstream>{{std::string(kMaxFormerIdBytes + 1, 'i'), 1s}}).empty());
    CHECK_FALSE(invalidFormer(std::vector<FormerUpstream>{{"i-1", -1s}}).empty());
    CHECK_FALSE(invalidFormer(std::vector<FormerUpstream>{{"i-1", kTombstoneDuration + 1s}}).empty());
    CHECK_FALSE(invalidFormer(std::vector<FormerUpstream>(kMaxFormerInList + 1, {"i-1", 1s})).empty());
}
