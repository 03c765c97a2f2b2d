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

// A reader of the store, and what it has learnt.
struct Reader {
    Reader(boost::asio::io_context &context, const Endpoint &address)
        : feed(context, optionsFor(address), sink())
    {
        feed.start();
    }

    static StoreFeedOptions optionsFor(const Endpoint &address)
    {
        StoreFeedOptions options;
        options.address = address;
        options.pace = 1ms;
        options.wait = 100ms;
        options.patience.answerTimeout = 100ms;
        options.patience.longestAnswerTimeout = 1s;
        options.patience.shortestBackOff = 2ms;
        options.patience.longestBackOff = 20ms;
        return options;
    }

    StoreFeedSink sink()
    {
        StoreFeedSink result;
        result.config = [this](const RouteConfig &config) { versions.push_back(config.version); };
        result.upstream = [this](const UpstreamEntry &entry) { upstreams[entry.id] = entry; };
        result.gone = [this](const std::string &id, std::uint64_t /*revision*/) { upstreams.erase(id); };
        result.whole = [this](const std::vector<std::string> &ids, std::uint64_t /*revision*/) {
            const std::set<std::string> named(ids.begin(), ids.end());
            std::erase_if(upstreams, [&](const auto &row) { return !named.contains(row.first); });
            ++wholes;
        };
        return result;
    }

    std::vector<std::uint64_t> versions;
    std::map<std::string, UpstreamEntry> upstreams;
    int wholes = 0;
    StoreFeed feed;
};

} // namespace

TEST_CASE("a host that follows the store")
{
    boost::asio::io_context context;
    StandinStore store(context);
    const auto entry = [](const std::string &state = "ready") { return standinUpstreamEntry("one", {0x0a000001, 80}, "z", state); };
    store.put("op/config", standinConfig(4, kRoute, "one"));
    store.put("servers/i-1", entry());
    Reader reader(context, store.address());
    REQUIRE(runUntil(context, [&] { return reader.wholes == 1 && store.heldWatches() == 1; }));

    SUBCASE("reads what is there")
    {
        CHECK(reader.versions == std::vector<std::uint64_t>{4});
        CHECK(reader.upstreams.at("i-1").service == "one");
    }
    SUBCASE("hears of a change, a removal and an entry that can't be read")
    {
        store.put("op/config", standinConfig(9, kRoute, "one"));
        store.put("servers/i-2", entry());
        CHECK(runUntil(context, [&] { return reader.versions.back() == 9 && reader.upstreams.contains("i-2"); }));
        store.remove("servers/i-1");
        store.put("servers/i-2", "{}");
        CHECK(runUntil(context, [&] { return reader.upstreams.empty(); }));
        CHECK(reader.wholes == 1);
    }
    SUBCASE("reads it page by page, and nothing written meanwhile is missed")
    {
        store.setPageItems(2);
        for (int row = 2; row < 9; ++row) {
            store.put(fmt::format("servers/i-{}", row), entry());
        }
        Reader late(context, store.address());
        CHECK(runUntil(context, [&] { return late.upstreams.size() == 8; }));
    }
    SUBCASE("asks again for a page that was refused, not for those before it")
    {
        store.setPageItems(1);
        for (int row = 2; row < 12; ++row) {
            store.put(fmt::format("servers/i-{}", row), entry());
        }
        reader.feed.stop();
        store.refuseEach(3);
        const auto before = store.calls();
        Reader late(context, store.address());
        CHECK(runUntil(context, [&] { return late.wholes == 1; }));
        CHECK(late.upstreams.size() == 11);
        CHECK(store.calls() - before <= 20); // 12 pages, a third of the calls refused
        late.feed.stop();
    }
    SUBCASE("goes on from what another host told, and reads nothing whole")
    {
        reader.feed.stop();
        const auto known = store.put("servers/i-2", entry());
        store.setFault(StoreFault::Busy);
        Reader late(context, store.address());
        late.feed.adopt(known);
        store.setFault(StoreFault::None);
        store.put("servers/i-3", entry());
        CHECK(runUntil(context, [&] { return late.upstreams.contains("i-3"); }));
        CHECK(late.wholes == 0);
        CHECK_FALSE(late.upstreams.contains("i-2"));
        late.feed.stop();
    }
    SUBCASE("that starts reads pages that may be old, outside the store's rate, and then what changed since")
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
        SUBCASE("before it counts as knowing everything")
        {
            CHECK(runUntil(context, [&] { return late.wholes == 1; }));
            CHECK(store.staleCalls() >= 3);
            CHECK(store.calls() - store.staleCalls() - (before - 2) <= 2); // a watch at the end of reading, and the one that is held
            CHECK(late.versions.back() == 9);
            CHECK(late.upstreams.at("i-2").draining);
            CHECK(late.upstreams.size() == 5);
            CHECK_FALSE(late.upstreams.contains("i-3"));
            CHECK(late.upstreams.contains("i-7"));
        }
        SUBCASE("and reads it again, new, where the store no longer has that history")
        {
            store.dropHistory();
            CHECK(runUntil(context, [&] { return late.wholes == 1; }));
            CHECK(late.versions.back() == 9);
            CHECK(late.upstreams.size() == 5);
            CHECK_FALSE(late.upstreams.contains("i-3"));
        }
        SUBCASE("and knows nothing for certain while the store does not say what changed")
        {
            store.setFault(StoreFault::OnlyStale);
            CHECK(runUntil(context, [&] { return store.calls() - store.staleCalls() > before + 1; }));
            CHECK(late.feed.heardAt() == Time{});
            CHECK(late.wholes == 0);
            store.setFault(StoreFault::None);
            CHECK(runUntil(context, [&] { return late.wholes == 1; }));
            CHECK(late.versions.back() == 9);
        }
        late.feed.stop();
    }
    SUBCASE("reads it whole again once the history is gone, and learns what was removed meanwhile")
    {
        store.remove("servers/i-1");
        store.dropHistory();
        CHECK(runUntil(context, [&] { return reader.wholes == 2; }));
        CHECK(reader.upstreams.empty());
    }
    SUBCASE("keeps what it knows while the store is away, and goes on where it was")
    {
        for (const auto fault : {StoreFault::Busy, StoreFault::TooMany, StoreFault::Silent, StoreFault::Resets}) {
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
        CHECK(reader.wholes == 1);
    }
    SUBCASE("calls it seldom while nothing changes")
    {
        const auto before = store.calls();
        const auto end = std::chrono::steady_clock::now() + 400ms;
        runUntil(context, [&] { return std::chrono::steady_clock::now() >= end; });
        CHECK(store.calls() - before <= 5);
    }
    SUBCASE("takes the answers of a store that is slower than it waits at first")
    {
        store.setDelay(250ms);
        store.put("servers/i-2", entry());
        CHECK(runUntil(context, [&] { return reader.upstreams.contains("i-2"); }));
    }
    SUBCASE("gives up a connection that fell silent")
    {
        store.setFault(StoreFault::Silent);
        const auto before = store.calls();
        CHECK(runUntil(context, [&] { return store.calls() > before + 1; }));
    }
    reader.feed.stop();
}
