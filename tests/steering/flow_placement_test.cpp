#include "steering/liveness.h"
#include "steering_fixture.h"

#include <doctest/doctest.h>
#include <map>

using namespace medlarway;
using namespace medlarway::steering_test;

namespace
{

// Number of flows out of 1000 placed on each upstream with unchanged loads.
std::map<UpstreamIndex, int> drawMany(const UpstreamDirectory &directory, const PlacementRequest &request)
{
    Random random(7);
    std::map<UpstreamIndex, int> counts;
    for (int draw = 0; draw < 1000; ++draw) {
        ++counts[placeFlow(directory, request, PlacementWeights{}, random, at(0s))];
    }
    return counts;
}

} // namespace

TEST_CASE("a new flow")
{
    UpstreamDirectory directory;
    const AvailabilityZone zone{"a"};
    const auto route = routeTo(kRegistry, "registry");
    PlacementRequest request;
    request.route = &route;
    request.zone = &zone;
    request.busyShare = 0.05;
    directory.apply(entryOf("i-1", 1, "registry", "a"), at(0s));
    directory.apply(entryOf("i-2", 2, "registry", "a"), at(0s));
    directory.apply(entryOf("i-3", 3, "registry", "b"), at(0s));

    SUBCASE("is spread over idle upstreams of this host's zone")
    {
        auto counts = drawMany(directory, request);
        CHECK(counts[0] > 400);
        CHECK(counts[1] > 400);
        CHECK(counts[2] == 0);
    }
    SUBCASE("goes to the upstream with the lowest expected load")
    {
        directory.at(0).expectedLoad = 0.5;
        CHECK(drawMany(directory, request)[1] == 1000);
    }
    SUBCASE("goes to another zone only if that is far less loaded")
    {
        directory.at(0).expectedLoad = 1.2;
        directory.at(1).expectedLoad = 1.2;
        CHECK(drawMany(directory, request)[2] == 0);
        directory.at(0).expectedLoad = 2;
        directory.at(1).expectedLoad = 2;
        CHECK(drawMany(directory, request)[2] == 1000);
    }
    SUBCASE("with a single request avoids the upstream with more outstanding requests")
    {
        request.busyShare = 1;
        directory.at(0).running = 2;
        directory.at(1).expectedLoad = 0.5;
        CHECK(drawMany(directory, request)[1] == 1000);
    }
    SUBCASE("avoids an upstream in its warm-up unless the others are loaded")
    {
        directory.at(0).warmUntil = at(2s);
        CHECK(drawMany(directory, request)[1] == 1000);
        directory.at(1).expectedLoad = 1.5;
        CHECK(drawMany(directory, request)[0] == 1000);
    }
    SUBCASE("never goes to a draining upstream")
    {
        for (const auto *id : {"i-1", "i-2"}) {
            auto entry = directory.at(directory.findById(id)).entry;
            entry.draining = true;
            entry.revision = {1, 2};
            directory.apply(entry, at(0s));
        }
        CHECK(drawMany(directory, request)[2] == 1000);
    }
    SUBCASE("is distributed between services by weight")
    {
        directory.apply(entryOf("i-4", 4, "gallery", "a"), at(0s));
        auto both = route;
        both.targets = {{"registry", 90}, {"gallery", 10}};
        request.route = &both;
        auto counts = drawMany(directory, request);
        CHECK(counts[3] > 70);
        CHECK(counts[3] < 130);

        SUBCASE("and goes to the other service if one has no upstream")
        {
            both.targets = {{"registry", 90}, {"nothing", 10}};
            CHECK(drawMany(directory, request).count(kNoUpstream) == 0);
        }
    }
    SUBCASE("is not placed if the service has no upstream")
    {
        const auto empty = routeTo(kRegistry, "nothing");
        request.route = &empty;
        CHECK(drawMany(directory, request)[kNoUpstream] == 1000);
    }
}

TEST_CASE("the route table")
{
    RouteTable table;
    REQUIRE(table.apply(configOf(7, {routeTo(kRegistry, "registry")})));

    SUBCASE("refuses a version that is not newer")
    {
        CHECK_FALSE(table.apply(configOf(6, {routeTo(kRegistry, "gallery")})));
        CHECK_FALSE(table.apply(configOf(7, {routeTo(kRegistry, "gallery")})));
        CHECK(table.find(kRegistry)->targets.front().service == "registry");
    }
    SUBCASE("keeps the services that a route had in earlier versions")
    {
        table.apply(configOf(9, {routeTo(kRegistry, "gallery")}));
        CHECK(table.everAllowed(kRegistry, "registry"));
        CHECK(table.everAllowed(kRegistry, "gallery"));
        CHECK_FALSE(table.everAllowed(kGallery, "gallery"));
    }
    SUBCASE("drops them when the route is removed")
    {
        table.apply(configOf(9, {}));
        table.apply(configOf(10, {routeTo(kRegistry, "gallery")}));
        CHECK_FALSE(table.everAllowed(kRegistry, "registry"));
    }
}
