#include "peering/codec.h"
#include "replication/message.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

// The first fields of a request and a reply as a release without eras sends them.
struct RequestWithoutEra {
    std::uint32_t number = 0;
    std::uint64_t after = 0;
};

struct ReplyWithoutEra {
    std::uint32_t number = 0;
    Duration held{};
    std::uint64_t asOf = 0;
};

// The first fields of a reply, and an end, as a release sends them that does not tell ends to all hosts.
struct ReplyWithoutEnds {
    std::uint32_t number = 0;
    Duration held{};
    Revision asOf;
};

struct EndWithoutBegin {
    AvailabilityZone zone;
    Revision revision;
    Duration ago{};
};

// A request and a reply as a release without packed deltas and referrals sends them.
struct EarlierRequest {
    std::uint32_t number = 0;
    Revision after;
    std::uint64_t version = 0;
    Duration hold{};
    bool follow = false;
    bool urgent = false;
    std::optional<HostIntroduction> sender;
};

struct EarlierReply {
    std::uint32_t number = 0;
    Duration held{};
    Revision asOf;
    std::optional<Duration> confirmedAgo;
    bool platformFails = false;
    bool fetch = false;
    SteeringDelta delta;
    std::optional<HostIntroduction> sender;
    std::uint32_t zoneHosts = 0;
    std::vector<HostRecord> hosts;
};

} // namespace

// Guards against a fleet that is upgraded host by host and whose hosts can't follow each other meanwhile.
TEST_CASE("a message between a host and one of a release without packed deltas and referrals")
{
    SUBCASE("tells the later release that the earlier one does not know them")
    {
        const auto request = decodeMessage<FeedRequest>(encodeMessage(EarlierRequest{1, {1, 47}, 3, {}, true, false, {}}));
        CHECK(request.after == Revision{1, 47});
        CHECK_FALSE(request.extended);
        const auto reply = decodeMessage<FeedReply>(encodeMessage(EarlierReply{1, {}, {1, 47}, {}, false, false, {}, {}, 9, {}}));
        CHECK(reply.zoneHosts == 9);
        CHECK(reply.askInstead == HostId{});
        CHECK_FALSE(reply.packed);
    }
    SUBCASE("is understood by the earlier release")
    {
        FeedReply reply;
        reply.asOf = {1, 47};
        reply.zoneHosts = 9;
        reply.fleetHosts = 30;
        CHECK(decodeMessage<EarlierReply>(encodeMessage(reply)).zoneHosts == 9);
        CHECK(decodeMessage<EarlierRequest>(encodeMessage(FeedRequest{1, {1, 47}, 3, {}, true, false, {}, true, false})).follow);
    }
}

TEST_CASE("the limits of upstreams that warm up reach other hosts with the configuration")
{
    FeedReply reply;
    reply.delta.config = RouteConfig{};
    reply.delta.config->warmUps = {{"one", 0.5, std::chrono::seconds{2}}};
    CHECK(decodeMessage<FeedReply>(encodeMessage(reply)) == reply);
}

TEST_CASE("the ends of evacuations in a reply")
{
    constexpr std::size_t kFieldsFromEnds = 5; // the last fields of a reply, which earlier releases do not send
    FeedReply reply;
    reply.asOf = {1, 47};
    const auto without = toCborValue(reply);
    reply.recentEnds = {{{"z"}, {1, 45}, std::chrono::seconds{3}, {1, 40}}};
    CHECK(decodeMessage<FeedReply>(encodeMessage(reply)) == reply);

    SUBCASE("take a byte if there are none")
    {
        auto earlier = without;
        earlier.erase(earlier.size() - kFieldsFromEnds);
        CHECK(writeCbor(without).size() == writeCbor(earlier).size() + 1);
    }
    SUBCASE("are missing in that of an earlier release, which is understood")
    {
        auto earlier = toCborValue(reply);
        earlier.erase(earlier.end() - static_cast<std::ptrdiff_t>(kFieldsFromEnds), earlier.end());
        CHECK(decodeMessage<FeedReply>(writeCbor(earlier)).recentEnds.empty());
        CHECK(decodeMessage<FeedReply>(writeCbor(earlier)).asOf == reply.asOf);
    }
    SUBCASE("are skipped by an earlier release, like the begin of those in a delta")
    {
        CHECK(decodeMessage<ReplyWithoutEnds>(encodeMessage(reply)).asOf == reply.asOf);
        CHECK(decodeMessage<EndWithoutBegin>(encodeMessage(reply.recentEnds.front())).ago == reply.recentEnds.front().ago);
    }
}

TEST_CASE("a message between a host and one of a release without eras")
{
    SUBCASE("is not taken for data of an era by the later release")
    {
        CHECK_THROWS_AS(decodeMessage<FeedRequest>(encodeMessage(RequestWithoutEra{1, 47})), Error);
        CHECK_THROWS_AS(decodeMessage<FeedReply>(encodeMessage(ReplyWithoutEra{1, {}, 47})), Error);
    }
    SUBCASE("is not taken for a revision number by the earlier one")
    {
        FeedRequest request;
        request.after = {2, 47};
        CHECK_THROWS_AS(decodeMessage<RequestWithoutEra>(encodeMessage(request)), Error);
        FeedReply reply;
        reply.asOf = {2, 47};
        CHECK_THROWS_AS(decodeMessage<ReplyWithoutEra>(encodeMessage(reply)), Error);
    }
}
