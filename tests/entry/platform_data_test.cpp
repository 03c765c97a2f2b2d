#include "entry/platform_data.h"

#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace medlarway;

namespace
{

constexpr Endpoint kPeer{0x0a000001, 7000};

UpstreamEntry entryOf(const std::string &id, const Revision &revision)
{
    UpstreamEntry entry;
    entry.id = id;
    entry.number = 1;
    entry.address = {0x0a010000 + static_cast<std::uint32_t>(std::stoi(id.substr(2))), 80};
    entry.service = "one";
    entry.startMs = 1000;
    entry.revision = revision;
    return entry;
}

RouteConfig configOf(std::uint64_t version)
{
    RouteConfig config;
    config.version = version;
    config.services = {"one"};
    return config;
}

// A host, and what it knows.
struct Host {
    FlowSteering steering{{}};
    PlatformData data{steering};

    // Reads everything from the store.
    void read(const std::vector<std::string> &ids, const Revision &upTo, std::uint64_t version)
    {
        data.applyConfig(configOf(version));
        for (const auto &id : ids) {
            data.applyUpstream(entryOf(id, {upTo.era, 1}));
        }
        data.completeRead(ids, upTo);
        data.confirmUpTo(upTo);
    }

    bool lists(const std::string &id) const
    {
        const auto index = steering.directory().findById(id);
        return index != kNoUpstream && steering.directory().at(index).presence == Presence::Listed;
    }
};

} // namespace

TEST_CASE("the data of a host whose platform returned to an older copy")
{
    Host host;
    Host other;
    host.read({"i-1", "i-2"}, {1, 60}, 7);
    other.read({"i-1", "i-3"}, {2, 45}, 6);

    SUBCASE("is replaced by a delta of the new era, except for the configuration's version")
    {
        const auto delta = other.data.deltaFor(host.data.known());
        CHECK(delta.full);
        host.data.applyDelta(delta, kPeer);
        CHECK(host.data.upTo() == Revision{2, 45});
        CHECK(host.lists("i-3"));
        CHECK(host.data.known().version == 7);
        SUBCASE("so that it can pass on what follows")
        {
            other.data.applyUpstream(entryOf("i-4", {2, 46}));
            other.data.confirmUpTo({2, 46});
            host.data.applyDelta(other.data.deltaFor(host.data.known()), kPeer);
            Host late;
            late.data.applyDelta(host.data.deltaFor(late.data.known()), kPeer);
            CHECK(late.lists("i-4"));
            CHECK(late.data.upTo() == Revision{2, 46});
        }
    }
    SUBCASE("does not lead a host that read the copy back to lost upstreams, but to the later configuration")
    {
        other.data.applyDelta(host.data.deltaFor({}), kPeer);
        CHECK_FALSE(other.lists("i-2"));
        CHECK(other.lists("i-3"));
        CHECK(other.data.upTo() == Revision{2, 45});
        CHECK(other.data.known().version == 7);
    }
    SUBCASE("is brought to a host that starts, until that one reads the store")
    {
        Host starting;
        starting.data.applySnapshot(takeSnapshot(host.steering, host.data.upTo()), kPeer);
        CHECK(starting.data.isComplete());
        starting.read({"i-1", "i-3"}, {2, 45}, 6);
        CHECK(starting.lists("i-3"));
        CHECK(starting.data.known().version == 7);
        starting.steering.directory().expire(monotonicNow() + kReregisterTime);
        CHECK_FALSE(starting.lists("i-2"));
    }
}
