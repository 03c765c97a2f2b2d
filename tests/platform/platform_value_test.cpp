#include "platform/http_source.h"
#include "platform/platform_value.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

constexpr auto kShard
    = "services: [{name: a, owner: x, class: feed, kind: stream, address: 0.0.0.0:80, upstreams: [{address: 10.0.0.1:80, zone: z}]}]";

} // namespace

TEST_CASE("a value of the platform")
{
    SUBCASE("is an index, a shard or a host list by its key, in JSON as well as in YAML")
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
    SUBCASE("is refused with its faults")
    {
        CHECK(faultsToString(parsePlatformValue("catalogue", 1, "shards: [a/b]\nzones: []\nmore: 1\n").faults)
              == "1:10: index: an entry of 'shards' is no name\n3:1: index: key 'more' is not known");
        CHECK(faultsToString(parsePlatformValue("other", 1, "a: 1").faults) == "key 'other' is not known");
        CHECK_FALSE(parsePlatformValue("catalogue/one", 1, std::string(kLongestValueBytes + 1, ' ')).value);
    }
}

TEST_CASE("an answer of the platform")
{
    SUBCASE("is newer, not newer or stale by its revision")
    {
        CHECK(interpretAnswer("catalogue/one", 3, 200, "4", kShard).kind == AnswerKind::Newer);
        CHECK(interpretAnswer("catalogue/one", 4, 200, "4", kShard).kind == AnswerKind::NotNewer);
        CHECK(interpretAnswer("catalogue/one", 4, 304, "", "").kind == AnswerKind::NotNewer);
        CHECK(interpretAnswer("catalogue/one", 5, 200, "4", kShard).kind == AnswerKind::Stale);
    }
    SUBCASE("is refused with a faulty value and unreadable without a revision")
    {
        const auto refused = interpretAnswer("catalogue/one", 3, 200, "4", "services: 3");
        CHECK(refused.kind == AnswerKind::Refused);
        CHECK(refused.revision == 4);
        CHECK(refused.detail == "1:11: catalogue: 'services' must be a list");
        for (const auto *revision : {"", "0", "-1", "4x", "99999999999999999999"}) {
            CHECK(interpretAnswer("catalogue/one", 3, 200, revision, kShard).kind == AnswerKind::Unreadable);
        }
        CHECK(interpretAnswer("catalogue/one", 3, 404, "4", kShard).kind == AnswerKind::Unreadable);
    }
}
