#include "platform/platform_value.h"
#include "platform/store_source.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

constexpr auto kShard
    = "services: [{name: a, owner: x, class: feed, kind: stream, address: 0.0.0.0:80, upstreams: [{address: 10.0.0.1:80, zone: z}]}]";

} // namespace

TEST_CASE("a value of the platform")
{
    SUBCASE("is an index, a shard or a host list depending on its key, in JSON as well as in YAML")
    {
        const auto index = parsePlatformValue("catalogue", 3, R"({"shards": ["one", "two"], "zones": ["cape-1"]})");
        CHECK(std::get<PlatformIndex>(index.value.value()) == PlatformIndex{3, {"one", "two"}, {"cape-1"}});
        const auto shard = parsePlatformValue("catalogue/one", 4, kShard);
        CHECK(std::get<CatalogueShard>(shard.value.value()).services.size() == 1);
        const auto hosts
            = parsePlatformValue("hosts/cape-1", 5, "hosts:\n- address: 10.0.0.1:7400\n- {address: 10.0.0.2:7400, leaving: true}\n");
        const auto &list = std::get<HostList>(hosts.value.value());
        CHECK(list.zone.name == "cape-1");
        CHECK(list.hosts.at(1).leaving);
    }
    SUBCASE("is refused with a list of its errors")
    {
        CHECK(faultsToString(parsePlatformValue("catalogue", 1, "shards: [a/b]\nzones: []\nmore: 1\n").faults)
              == "1:10: index: an entry of 'shards' is no name\n3:1: index: key 'more' is not known");
        CHECK(faultsToString(parsePlatformValue("other", 1, "a: 1").faults) == "key 'other' is not known");
        CHECK_FALSE(parsePlatformValue("catalogue/one", 1, std::string(kMaxValueBytes + 1, ' ')).value);
    }
}

TEST_CASE("an item of a watched key")
{
    const auto itemOf = [](std::uint64_t revision, std::string value) {
        return StoreItem{"catalogue/one", std::move(value), revision, false};
    };

    SUBCASE("is newer, unchanged or stale depending on its revision")
    {
        CHECK(parseItem(itemOf(4, kShard), 3).status == ItemStatus::Newer);
        CHECK(parseItem(itemOf(4, kShard), 4).status == ItemStatus::Unchanged);
        CHECK(parseItem(itemOf(4, kShard), 5).status == ItemStatus::Stale);
    }
    SUBCASE("is refused if its value is invalid or the key was removed")
    {
        const auto refused = parseItem(itemOf(4, "services: 3"), 3);
        CHECK(refused.status == ItemStatus::Refused);
        CHECK(refused.revision == 4);
        CHECK(refused.detail == "1:11: catalogue: 'services' must be a list");
        const auto removed = parseItem({"catalogue/one", "", 4, true}, 3);
        CHECK(removed.status == ItemStatus::Refused);
        CHECK_FALSE(removed.update);
    }
    SUBCASE("is the one with the highest revision of exactly that key")
    {
        StoreResponse response;
        response.items = {itemOf(4, "a"), {"catalogue/one-more", "b", 6, false}, itemOf(5, "c")};
        REQUIRE(lastItemWithKey(response, "catalogue/one") != nullptr);
        CHECK(lastItemWithKey(response, "catalogue/one")->revision == 5);
        CHECK(lastItemWithKey(response, "catalogue") == nullptr);
    }
}

TEST_CASE("the store's response to a read of one item")
{
    SUBCASE("contains the item and the store's revision")
    {
        const auto response = decodeStoreItem(R"({"key":"a/b","value":"eA==","revision":3,"create-rev":3,"lease":0,"as-of":9})");
        REQUIRE(response);
        CHECK(*response == StoreResponse{{{"a/b", "x", 3, false}}, false, 9});
    }
    SUBCASE("is invalid without either, or with a revision that is not a non-negative integer")
    {
        CHECK_FALSE(decodeStoreItem(R"({"key":"a/b","value":"eA==","revision":3})"));
        CHECK_FALSE(decodeStoreItem(R"({"value":"eA==","revision":3,"as-of":9})"));
        for (const auto *revision : {"\"\"", "-1", "\"4\"", "4.5", "99999999999999999999", "null"}) {
            CAPTURE(revision);
            CHECK_FALSE(decodeStoreItem(std::string(R"({"key":"a/b","value":"eA==","as-of":9,"revision":)") + revision + "}"));
        }
        CHECK_FALSE(decodeStoreItem("not-json"));
    }
}
