#include "steering/life_signs.h"
#include "steering_fixture.h"

#include <doctest/doctest.h>
#include <map>

using namespace medlarway;
using namespace medlarway::steering_test;

namespace
{

// How many of a thousand flows each upstream would get, nothing else changing.
std::map<UpstreamIndex, int> drawMany(const UpstreamDirectory &directory, const PlacingRequest &request)
{
    Random random(7);
    std::map<UpstreamIndex, int> counts;
    for (int draw = 0; draw < 1000; ++draw) {
        ++counts[placeFlow(directory, request, PlacingWeights{}, random, at(0s))];
    }
    return counts;
}

} // namespace

TEST_CASE("a new flow")
{
    UpstreamDirectory directory;
    const AvailabilityZone zone{"a"};
    const auto route = routeTo(kFeed, "registry");
    PlacingRequest request;
    request.route = &route;
    request.zone = &zone;
    request.busyShare = 0.05;
    directory.apply(entryOf("i-1", 1, "registry", "a"), at(0s));
    directory.apply(entryOf("i-2", 2, "registry", "a"), at(0s));
    directory.apply(entryOf("i-3", 3, "registry", "b"), at(0s));

    SUBCASE("is spread over idle upstreams of its own zone")
    {
        auto counts = drawMany(directory, request);
        CHECK(counts[0] > 400);
        CHECK(counts[1] > 400);
        CHECK(counts[2] == 0);
    }
    SUBCASE("goes where the flows that are there run least")
    {
        directory.at(0).expected = 0.5;
        CHECK(drawMany(directory, request)[1] == 1000);
    }
    SUBCASE("leaves its zone only for upstreams that are far less loaded")
    {
        directory.at(0).expected = 1.2;
        directory.at(1).expected = 1.2;
        CHECK(drawMany(directory, request)[2] == 0);
        directory.at(0).expected = 2;
        directory.at(1).expected = 2;
        CHECK(drawMany(directory, request)[2] == 1000);
    }
    SUBCASE("for one request goes by what runs now")
    {
        request.busyShare = 1;
        directory.at(0).running = 2;
        directory.at(1).expected = 0.5;
        CHECK(drawMany(directory, request)[1] == 1000);
    }
    SUBCASE("avoids one that has just started while others have room")
    {
        directory.at(0).warmUntil = at(2s);
        CHECK(drawMany(directory, request)[1] == 1000);
        directory.at(1).expected = 1.5;
        CHECK(drawMany(directory, request)[0] == 1000);
    }
    SUBCASE("never goes to one that drains")
    {
        for (const auto *id : {"i-1", "i-2"}) {
            auto entry = directory.at(directory.findId(id)).entry;
            entry.draining = true;
            entry.revision = 2;
            directory.apply(entry, at(0s));
        }
        CHECK(drawMany(directory, request)[2] == 1000);
    }
    SUBCASE("is shared out between services by weight")
    {
        directory.apply(entryOf("i-4", 4, "gallery", "a"), at(0s));
        auto both = route;
        both.targets = {{"registry", 90}, {"gallery", 10}};
        request.route = &both;
        auto counts = drawMany(directory, request);
        CHECK(counts[3] > 70);
        CHECK(counts[3] < 130);

        SUBCASE("and goes to the other service where one has no upstream")
        {
            both.targets = {{"registry", 90}, {"nothing", 10}};
            CHECK(drawMany(directory, request).count(kNoUpstream) == 0);
        }
    }
    SUBCASE("has none where the service has none")
    {
        const auto empty = routeTo(kFeed, "nothing");
        request.route = &empty;
        CHECK(drawMany(directory, request)[kNoUpstream] == 1000);
    }
}

TEST_CASE("the configuration in force")
{
    RouteTable table;
    REQUIRE(table.apply(configOf(7, {routeTo(kFeed, "registry")})));

    SUBCASE("never goes back")
    {
        CHECK_FALSE(table.apply(configOf(6, {routeTo(kFeed, "gallery")})));
        CHECK_FALSE(table.apply(configOf(7, {routeTo(kFeed, "gallery")})));
        CHECK(table.find(kFeed)->targets.front().service == "registry");
    }
    SUBCASE("remembers which services a route had")
    {
        table.apply(configOf(9, {routeTo(kFeed, "gallery")}));
        CHECK(table.everAllowed(kFeed, "registry"));
        CHECK(table.everAllowed(kFeed, "gallery"));
        CHECK_FALSE(table.everAllowed(kGallery, "gallery"));
    }
    SUBCASE("forgets them with the route")
    {
        table.apply(configOf(9, {}));
        table.apply(configOf(10, {routeTo(kFeed, "gallery")}));
        CHECK_FALSE(table.everAllowed(kFeed, "registry"));
    }
}
