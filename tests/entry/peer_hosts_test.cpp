#include "entry/peer_hosts.h"
#include "entry/peer_snapshots.h"
#include "peering/codec.h"

#include <doctest/doctest.h>
#include <set>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

Time at(Duration since)
{
    return Time{} + 1h + since;
}

Endpoint host(std::uint32_t number)
{
    return {0x0a000000 + number, 8166};
}

std::set<Endpoint> nextRound(PeerHosts &hosts, std::size_t count, Time now)
{
    std::set<Endpoint> asked;
    for (std::size_t step = 0; step < count; ++step) {
        if (const auto next = hosts.next(now)) {
            asked.insert(*next);
        }
    }
    return asked;
}

UpstreamEntry entryOf(const std::string &id, std::uint64_t revision)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.number = 5;
    entry.address = {0x0a800000 + static_cast<std::uint32_t>(hashBytes(id) % 1000), 80};
    entry.service = "one";
    entry.zone.name = "z";
    entry.revision = revision;
    return entry;
}

} // namespace

TEST_CASE("the entry hosts that a host knows")
{
    PeerHosts hosts(host(1), 7);

    SUBCASE("are none at first")
    {
        CHECK_FALSE(hosts.next(at(0s)));
    }
    SUBCASE("are the seeds, without itself, each asked once in a round")
    {
        hosts.setSeeds({host(1), host(2), host(3)});
        CHECK(nextRound(hosts, 2, at(0s)) == std::set<Endpoint>{host(2), host(3)});
        CHECK(nextRound(hosts, 2, at(0s)) == std::set<Endpoint>{host(2), host(3)});
    }
    SUBCASE("are those that asked and those that were named as well")
    {
        hosts.setSeeds({host(2)});
        hosts.heardOf(host(4), at(0s));
        hosts.named({host(5), host(1)}, at(0s));
        CHECK(nextRound(hosts, 3, at(0s)) == std::set<Endpoint>{host(2), host(4), host(5)});
        CHECK(hosts.recent(at(0s)).size() == 2);

        SUBCASE("until they are heard of no longer")
        {
            CHECK(nextRound(hosts, 3, at(kPeerMemory + 1s)) == std::set<Endpoint>{host(2)});
        }
        SUBCASE("and one that is only named is not passed on for long")
        {
            CHECK(hosts.recent(at(1s)) == std::vector<Endpoint>{host(4)});
        }
    }
    SUBCASE("are bounded")
    {
        for (std::uint32_t row = 2; row < 200; ++row) {
            hosts.heardOf(host(row), at(std::chrono::seconds{row}));
        }
        CHECK(hosts.recent(at(200s)).size() == PeerHosts::kMostNamed);
    }
}

TEST_CASE("a request for a snapshot is read as it was written")
{
    const SnapshotRequest request{42, host(3)};
    CHECK(parseSnapshotTarget(snapshotTarget(request)) == request);
    CHECK(parseSnapshotTarget("/snapshot?after=1") == SnapshotRequest{1, std::nullopt});
    for (const auto *target : {"/snapshot", "/snapshot?after=x", "/metrics", "/snapshot?after=%"}) {
        CHECK_FALSE(parseSnapshotTarget(target));
    }
}

TEST_CASE("a snapshot of another host")
{
    FlowSteering there{SteeringOptions{}};
    RouteConfig config;
    config.version = 7;
    config.routes.push_back({"r", {0xc6120001, 443}, RouteKind::Download, 5s, 1, {{"one", 90}, {"two", 10}}});
    there.applyConfig(config);
    there.directory().apply(entryOf("i-1", 10), at(0s));
    there.directory().apply(entryOf("i-2", 12), at(0s));
    auto snapshot = takeSnapshot(there, 12);
    snapshot.hosts = {host(9)};
    FlowSteering here{SteeringOptions{}};

    SUBCASE("comes through its encoding whole")
    {
        CHECK(decodeMessage<SteeringSnapshot>(encodeMessage(snapshot)) == snapshot);
    }
    SUBCASE("gives a host that knows nothing all it needs")
    {
        CHECK(applySnapshot(here, snapshot, at(0s)));
        CHECK(here.routes().version() == 7);
        CHECK(here.directory().listedCount() == 2);
        CHECK_FALSE(applySnapshot(here, snapshot, at(0s)));
    }
    SUBCASE("takes nothing back that this host knows later")
    {
        auto newer = config;
        newer.version = 9;
        here.applyConfig(newer);
        here.directory().apply(entryOf("i-2", 15), at(0s));
        here.directory().apply(entryOf("i-3", 14), at(0s));
        applySnapshot(here, snapshot, at(0s));
        CHECK(here.routes().version() == 9);
        CHECK(here.directory().listedCount() == 3);
        CHECK(here.directory().at(here.directory().findById("i-2")).entry.revision == 15);
    }
    SUBCASE("removes what was removed before it")
    {
        here.directory().apply(entryOf("i-4", 8), at(0s));
        applySnapshot(here, snapshot, at(0s));
        CHECK(here.directory().at(here.directory().findById("i-4")).presence == Presence::Removed);
    }
    SUBCASE("does not bring back an upstream that this host knows to be gone")
    {
        here.directory().apply(entryOf("i-2", 12), at(0s));
        here.directory().remove("i-2", 14, at(0s));
        applySnapshot(here, snapshot, at(0s));
        CHECK(here.directory().at(here.directory().findById("i-2")).presence == Presence::Removed);
    }
}
