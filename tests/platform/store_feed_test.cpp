#include "harness/run_until.h"
#include "platform/store_feed.h"
#include "standin/platform/store.h"

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <set>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

constexpr Endpoint kRoute{0xc6120001, 8443};

// A feed and the data that it delivered.
struct Reader {
    Reader(boost::asio::io_context &context, const Endpoint &address, int expectedFaults = 0)
        : faults(expectedFaults)
        , feed(context, optionsFor(address), sink())
    {
        feed.start();
    }

    static StoreFeedOptions optionsFor(const Endpoint &address)
    {
        StoreFeedOptions options;
        options.address = address;
        options.pace.pauseAfterChanges = 1ms;
        options.pace.wait = 100ms;
        options.timeouts.responseTimeout = 100ms;
        options.timeouts.maxResponseTimeout = 1s;
        options.timeouts.minBackoff = 2ms;
        options.timeouts.maxBackoff = 20ms;
        return options;
    }

    StoreFeedSink sink()
    {
        StoreFeedSink result;
        result.config = [this](const RouteConfig &config) { versions.push_back(config.version); };
        result.upstream = [this](const UpstreamEntry &entry) {
            if (faults > 0) {
                --faults;
                throw std::runtime_error("fault of the sink");
            }
            upstreams[entry.id] = entry;
        };
        result.removed = [this](const std::string &id, const Revision & /*revision*/) { upstreams.erase(id); };
        result.evacuation = [this](const ZoneEvacuation &evacuation) { zones.apply(evacuation, [](const auto &) { return true; }, {}); };
        result.complete = [this](const auto &ids, const auto &evacuations, const auto &revision) {
            const std::set<std::string> named(ids.begin(), ids.end());
            std::erase_if(upstreams, [&](const auto &item) { return !named.contains(item.first); });
            zones.endUnlisted(evacuations, revision, {});
            ++completeReads;
        };
        return result;
    }

    std::vector<std::uint64_t> versions;
    std::map<std::string, UpstreamEntry> upstreams;
    ZoneEvacuations zones;
    int completeReads = 0;
    int faults; ///< how often the sink still throws
    StoreFeed feed;
};

} // namespace

TEST_CASE("a host that watches the store")
{
    boost::asio::io_context context;
    StandinStore store(context);
    const auto entry = [](const std::string &state = "ready") { return standinUpstreamEntry("one", {0x0a000001, 80}, "z", state); };
    store.put("op/config", standinConfig(4, kRoute, "one"));
    store.put("servers/i-1", entry());
    Reader reader(context, store.address());
    REQUIRE(runUntil(context, [&] { return reader.completeReads == 1 && store.heldWatches() == 1; }));

    SUBCASE("reads the current data")
    {
        CHECK(reader.versions == std::vector<std::uint64_t>{4});
        CHECK(reader.upstreams.at("i-1").service == "one");
    }
    SUBCASE("receives a change, a removal and an invalid entry")
    {
        store.put("op/config", standinConfig(9, kRoute, "one"));
        store.put("servers/i-2", entry());
        CHECK(runUntil(context, [&] { return reader.versions.back() == 9 && reader.upstreams.contains("i-2"); }));
        store.remove("servers/i-1");
        store.put("servers/i-2", "{}");
        CHECK(runUntil(context, [&] { return reader.upstreams.empty(); }));
        CHECK(reader.completeReads == 1);
    }
    SUBCASE("goes on after an exception of the sink")
    {
        reader.faults = 1;
        store.put("servers/i-2", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-2"); }));
        SUBCASE("during the full read")
        {
            Reader late(context, store.address(), 1);
            CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
            CHECK(late.upstreams.size() == 2);
            late.feed.stop();
        }
        SUBCASE("and leaves out an item that fails again, but not those after it")
        {
            reader.faults = 2;
            store.put("servers/i-3", entry());
            store.put("servers/i-4", entry());
            CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-4"); }));
            CHECK_FALSE(reader.upstreams.contains("i-3"));
        }
    }
    SUBCASE("reads all pages")
    {
        store.setPageItems(2);
        for (int row = 2; row < 9; ++row) {
            store.put(fmt::format("servers/i-{}", row), entry());
        }
        Reader late(context, store.address());
        CHECK(runUntil(context, [&] { return late.upstreams.size() == 8; }));
    }
    SUBCASE("repeats the request of a refused page, not of the pages before it")
    {
        store.setPageItems(1);
        for (int row = 2; row < 12; ++row) {
            store.put(fmt::format("servers/i-{}", row), entry());
        }
        reader.feed.stop();
        store.refuseEveryNth(3);
        const auto before = store.calls();
        Reader late(context, store.address());
        CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
        CHECK(late.upstreams.size() == 11);
        CHECK(store.calls() - before <= 20); // 12 pages, a third of the calls refused
        late.feed.stop();
    }
    SUBCASE("resumes from the revision of a peer's snapshot without a full read")
    {
        reader.feed.stop();
        const auto known = store.put("servers/i-2", entry());
        store.setFault(StoreFault::Busy);
        Reader late(context, store.address());
        late.feed.resumeFrom({1, known});
        store.setFault(StoreFault::None);
        store.put("servers/i-3", entry());
        CHECK(runUntil(context, [&] { return late.upstreams.contains("i-3"); }));
        CHECK(late.completeReads == 0);
        CHECK_FALSE(late.upstreams.contains("i-2"));
        late.feed.stop();
    }
    SUBCASE("uses stale page reads at its start, outside the store's rate limit, and then fetches the changes since")
    {
        reader.feed.stop();
        store.setPageItems(2);
        for (int row = 2; row < 6; ++row) {
            store.put(fmt::format("servers/i-{}", row), entry());
        }
        store.freezeStaleReads();
        store.put("op/config", standinConfig(9, kRoute, "one"));
        store.put("servers/i-2", entry("draining"));
        store.remove("servers/i-3");
        store.put("servers/i-7", entry());
        const auto before = store.calls();
        Reader late(context, store.address());
        SUBCASE("before it reports a complete read")
        {
            CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
            CHECK(store.staleCalls() >= 3);
            CHECK(store.calls() - store.staleCalls() - (before - 2) <= 2); // the watch that ends the full read, and the one that is held
            CHECK(late.versions.back() == 9);
            CHECK(late.upstreams.at("i-2").draining);
            CHECK(late.upstreams.size() == 5);
            CHECK_FALSE(late.upstreams.contains("i-3"));
            CHECK(late.upstreams.contains("i-7"));
        }
        SUBCASE("and reads the latest data if the store no longer has that history")
        {
            store.dropHistory();
            CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
            CHECK(late.versions.back() == 9);
            CHECK(late.upstreams.size() == 5);
            CHECK_FALSE(late.upstreams.contains("i-3"));
        }
        SUBCASE("and does not report a complete read while watches fail")
        {
            store.setFault(StoreFault::OnlyStaleReads);
            CHECK(runUntil(context, [&] { return store.calls() - store.staleCalls() > before + 1; }));
            CHECK(late.feed.lastResponseAt() == Time{});
            CHECK(late.completeReads == 0);
            store.setFault(StoreFault::None);
            CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
            CHECK(late.versions.back() == 9);
        }
        late.feed.stop();
    }
    SUBCASE("does a full read after the history expired, which reveals the removals since")
    {
        store.remove("servers/i-1");
        store.dropHistory();
        CHECK(runUntil(context, [&] { return reader.completeReads == 2; }));
        CHECK(reader.upstreams.empty());
    }
    // Guards against a host that never learns of a change again because the changes since its last revision exceed the limit of a response.
    SUBCASE("reads the current data if the changes exceed the limit of a response")
    {
        store.remove("servers/i-1");
        store.put("servers/i-2", entry());
        for (int copy = 0; copy < 5; ++copy) {
            store.put("op/config", std::string(1 << 20U, ' ') + standinConfig(9, kRoute, "one"));
        }
        CHECK(runUntil(context, [&] { return reader.versions.back() == 9 && reader.completeReads == 2; }));
        CHECK(reader.upstreams.size() == 1);
        CHECK(reader.upstreams.contains("i-2"));
        store.put("servers/i-3", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-3"); }));
        CHECK(reader.completeReads == 2);
    }
    SUBCASE("keeps its data while the store is unavailable, and then resumes from its last revision")
    {
        for (const auto fault : {StoreFault::Busy, StoreFault::RateLimited, StoreFault::Silent, StoreFault::Reset}) {
            const auto before = store.calls();
            store.setFault(fault);
            CHECK(runUntil(context, [&] { return store.calls() > before + 2; }));
            CHECK(reader.upstreams.contains("i-1"));
            store.put("servers/i-1", entry("draining"));
            store.setFault(StoreFault::None);
            CHECK(runUntil(context, [&] { return reader.upstreams.at("i-1").draining; }));
            store.put("servers/i-1", entry());
            CHECK(runUntil(context, [&] { return !reader.upstreams.at("i-1").draining; }));
        }
        CHECK(reader.completeReads == 1);
    }
    // Guards against hosts that pass on data as just confirmed which was on its way for long, so that their followers rely on it too long.
    SUBCASE("counts its data as confirmed as of the call whose response has changes")
    {
        reader.feed.setPace({1ms, 100ms});
        REQUIRE(runUntil(context, [&] { return reader.feed.confirmedAt() != Time{} && store.heldWatches() == 1; }));
        store.setDelay(60ms);
        store.put("servers/i-2", entry());
        REQUIRE(runUntil(context, [&] { return store.heldWatches() == 0; })); // the response is on its way
        const auto changedAt = monotonicNow();
        store.put("servers/i-1", entry("draining"));
        REQUIRE(runUntil(context, [&] { return reader.upstreams.contains("i-2"); }));
        REQUIRE_FALSE(reader.upstreams.at("i-1").draining);
        CHECK(monotonicNow() - changedAt >= 50ms);
        CHECK(reader.feed.confirmedAt() < changedAt);
        CHECK(reader.feed.lastResponseAt() > changedAt);
        store.setDelay(0ms);
        CHECK(runUntil(context, [&] { return reader.upstreams.at("i-1").draining && reader.feed.confirmedAt() > changedAt; }));
    }
    SUBCASE("counts its data as confirmed as of the end of the wait if nothing changed")
    {
        const auto before = monotonicNow();
        store.setDelay(60ms);
        REQUIRE(runUntil(context, [&] { return reader.feed.lastResponseAt() > before + 250ms; }));
        CHECK(reader.feed.confirmedAt() > before);
        CHECK(reader.feed.lastResponseAt() - reader.feed.confirmedAt() >= 55ms);
        SUBCASE("but as of the call if the store does not hold watches")
        {
            store.setDelay(0ms);
            store.setFault(StoreFault::EagerWatches);
            const auto calls = store.calls();
            REQUIRE(runUntil(context, [&] { return store.calls() > calls + 2; }));
            store.setDelay(150ms);
            const auto delayedAt = monotonicNow();
            REQUIRE(runUntil(context, [&] { return reader.feed.lastResponseAt() > delayedAt + 200ms; }));
            CHECK(reader.feed.lastResponseAt() - reader.feed.confirmedAt() >= 145ms);
        }
    }
    SUBCASE("makes few calls while nothing changes")
    {
        const auto before = store.calls();
        const auto end = std::chrono::steady_clock::now() + 400ms;
        runUntil(context, [&] { return std::chrono::steady_clock::now() >= end; });
        CHECK(store.calls() - before <= 5);
    }
    SUBCASE("makes few calls while nothing changes, even if the store holds no watch")
    {
        reader.feed.setPace({50ms, 100ms});
        store.setFault(StoreFault::EagerWatches);
        const auto before = store.calls();
        const auto end = std::chrono::steady_clock::now() + 400ms;
        runUntil(context, [&] { return std::chrono::steady_clock::now() >= end; });
        CHECK(store.calls() - before <= 12);
    }
    SUBCASE("extends its timeout for a store whose responses take longer than the initial timeout")
    {
        store.setDelay(250ms);
        store.put("servers/i-2", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-2"); }));
    }
    SUBCASE("gives up a connection that receives nothing")
    {
        store.setFault(StoreFault::Silent);
        const auto before = store.calls();
        CHECK(runUntil(context, [&] { return store.calls() > before + 1; }));
    }
    reader.feed.stop();
}

TEST_CASE("a host that watches a store which returns to an older copy of its data")
{
    boost::asio::io_context context;
    StandinStore store(context);
    const auto entry = [](const std::string &state = "ready") { return standinUpstreamEntry("one", {0x0a000001, 80}, "z", state); };
    store.put("op/config", standinConfig(4, kRoute, "one"));
    store.put("servers/i-1", entry());
    store.keepCopy();
    store.put("servers/i-2", entry());
    store.put("op/config", standinConfig(9, kRoute, "one"));
    Reader reader(context, store.address());
    REQUIRE(runUntil(context, [&] { return reader.completeReads == 1 && store.heldWatches() == 1; }));
    const auto known = reader.feed.asOf();
    store.setFault(StoreFault::Busy);
    REQUIRE(runUntil(context, [&] { return store.heldWatches() == 0; }));
    store.restoreCopy();

    SUBCASE("does not skip what was written before its revision was given out again")
    {
        store.put("op/config", standinConfig(11, kRoute, "one"));
        store.put("servers/i-3", entry());
        SUBCASE("and no more") { }
        SUBCASE("and after it")
        {
            store.put("servers/i-4", entry());
        }
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return reader.completeReads == 2 && store.heldWatches() == 1; }));
        CHECK(reader.versions.back() == 11);
        CHECK(reader.upstreams.contains("i-3"));
        CHECK_FALSE(reader.upstreams.contains("i-2"));
        CHECK(reader.feed.asOf() > known);
    }
    SUBCASE("reads it again if the store does not have its revision yet")
    {
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return reader.completeReads == 2 && store.heldWatches() == 1; }));
        CHECK(reader.feed.asOf() > known);
        store.put("servers/i-5", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-5"); }));
    }
    SUBCASE("reads the latest data if its stale pages come from the lost history")
    {
        Reader late(context, store.address());
        store.put("servers/i-3", entry());
        store.put("servers/i-4", entry());
        store.serveStaleReads({{"servers/i-2", entry()}}, known.number + 7);
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
        CHECK(late.upstreams.contains("i-3"));
        CHECK_FALSE(late.upstreams.contains("i-2"));
        late.feed.stop();
    }
    SUBCASE("takes over a later era from another host, and asks the store for what follows")
    {
        const auto later = store.put("servers/i-3", entry());
        reader.feed.resumeFrom({2, later});
        store.put("servers/i-4", entry());
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-4"); }));
        CHECK(reader.completeReads == 1);
    }
    SUBCASE("still takes changes if the store no longer tells its era")
    {
        store.setFault(StoreFault::None);
        REQUIRE(runUntil(context, [&] { return reader.completeReads == 2 && store.heldWatches() == 1; }));
        store.omitEra();
        store.put("servers/i-6", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-6"); }));
        CHECK(reader.upstreams.at("i-6").revision.era == 2);
        CHECK(reader.completeReads == 2);
    }
    SUBCASE("reads everything if the era that another host told is not the store's")
    {
        reader.feed.resumeFrom({7, 1});
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return reader.completeReads == 2 && store.heldWatches() == 1; }));
        CHECK(reader.feed.asOf().era == 2);
    }
    reader.feed.stop();
}

TEST_CASE("the evacuations that a host reads from the store")
{
    boost::asio::io_context context;
    StandinStore store(context);
    store.put("op/config", standinConfig(4, kRoute, "one"));
    store.put("op/evacuate/a", "{}");
    store.keepCopy();
    Reader reader(context, store.address());
    const auto areActive = [&](const std::vector<std::string> &expected) {
        return runUntil(context, [&] {
            std::vector<std::string> names;
            for (const auto &evacuation : reader.zones.active()) {
                names.push_back(evacuation.zone.name);
            }
            return names == expected;
        });
    };
    REQUIRE(runUntil(context, [&] { return reader.completeReads == 1 && store.heldWatches() == 1; }));
    CHECK(areActive({"a"}));

    SUBCASE("begin and end with their keys")
    {
        store.put("op/evacuate/b", "{}");
        CHECK(areActive({"a", "b"}));
        store.remove("op/evacuate/a");
        CHECK(areActive({"b"}));
        CHECK(reader.completeReads == 1);
    }
    SUBCASE("end with a value that declares none, without an effect on others")
    {
        store.put("op/evacuate/b", "{}");
        store.put("op/evacuate/a", "true");
        store.put("op/evacuate/", "{}");
        store.put("op/evacuate/" + std::string(256, 'z'), "{}");
        store.put("op/evacuated", "{}");
        CHECK(areActive({"b"}));
        SUBCASE("for a host that starts, too")
        {
            Reader late(context, store.address());
            CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
            CHECK(late.zones.active().size() == 1);
            CHECK(late.zones.isActive("b"));
            late.feed.stop();
        }
    }
    SUBCASE("end if a complete read after lost history lacks them")
    {
        store.remove("op/evacuate/a");
        store.put("op/evacuate/c", "{}");
        store.dropHistory();
        CHECK(areActive({"c"}));
        CHECK(reader.completeReads == 2);
    }
    SUBCASE("include those that its stale pages lack, and none that ended after them, once its data is complete")
    {
        store.freezeStaleReads();
        store.remove("op/evacuate/a");
        store.put("op/evacuate/d", "{}");
        Reader late(context, store.address());
        CHECK(runUntil(context, [&] { return late.completeReads == 1; }));
        CHECK(late.zones.active().size() == 1);
        CHECK(late.zones.isActive("d"));
        late.feed.stop();
    }
    SUBCASE("are those of the older copy to which the store returned")
    {
        store.put("op/evacuate/b", "{}");
        store.remove("op/evacuate/a");
        REQUIRE(areActive({"b"}));
        store.restoreCopy();
        CHECK(areActive({"a"}));
    }
    SUBCASE("stay in force while the store is unavailable, and then change with what was written meanwhile")
    {
        for (const auto fault : {StoreFault::Busy, StoreFault::Silent, StoreFault::Reset}) {
            const auto before = store.calls();
            store.setFault(fault);
            CHECK(runUntil(context, [&] { return store.calls() > before + 2; }));
            CHECK(areActive({"a"}));
            store.put("op/evacuate/b", "{}");
            store.setFault(StoreFault::None);
            CHECK(areActive({"a", "b"}));
            store.remove("op/evacuate/b");
            CHECK(areActive({"a"}));
        }
    }
    SUBCASE("are bounded, although thousands of keys are set, and others set and removed at once")
    {
        store.setPageItems(100);
        for (int number = 0; number < 3000; ++number) {
            store.put(fmt::format("op/evacuate/x{}", number), "{}");
            store.put("op/evacuate/y", "{}");
            store.remove("op/evacuate/y");
        }
        const auto last = store.put("op/evacuate/y", "[]");
        CHECK(runUntil(context, [&] { return reader.feed.asOf().number >= last; }));
        CHECK(reader.zones.active().size() == kMaxEvacuations);
        CHECK(reader.zones.isActive("a"));
        CHECK_FALSE(reader.zones.isActive("y"));
    }
    reader.feed.stop();
}
