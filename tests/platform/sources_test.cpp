#include "base/counters.h"
#include "base/errors.h"
#include "harness/run_until.h"
#include "platform/file_source.h"
#include "platform/store_source.h"
#include "standin/platform/store.h"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>
#include <fstream>
#include <unistd.h>

using namespace medlarway;
using namespace std::chrono_literals;
namespace asio = boost::asio;

namespace
{

std::string shardText(const std::string &service)
{
    return "services: [{name: " + service
           + ", owner: x, class: feed, kind: stream, address: 0.0.0.0:80, upstreams: [{address: 10.0.0.1:80, zone: z}]}]\n";
}

struct Received {
    std::vector<PlatformUpdate> updates;
    bool fault = false; ///< the sink throws once

    PlatformSink sink()
    {
        return [this](const PlatformUpdate &update) {
            if (std::exchange(fault, false)) {
                throw std::runtime_error("fault of the sink");
            }
            updates.push_back(update);
            return true;
        };
    }

    std::uint64_t lastRevision() const
    {
        return updates.empty() ? 0 : std::visit([](const auto &update) { return update.revision; }, updates.back());
    }
};

struct TemporaryFile {
    std::string path = fmt::format("{}/medlarway-catalogue-{}.yaml", std::filesystem::temp_directory_path().string(), getpid());

    ~TemporaryFile()
    {
        std::filesystem::remove(path);
    }

    void write(const std::string &text) const
    {
        std::ofstream(path + ".new") << text;
        std::filesystem::rename(path + ".new", path);
    }
};

} // namespace

TEST_CASE("a watched catalogue file")
{
    asio::io_context context;
    Received received;
    TemporaryFile file;
    file.write(shardText("one"));
    FileSourceOptions options;
    options.catalogueFile = file.path;
    options.pollInterval = 2ms;
    options.hosts = {{{0x0a000001, 7400}, {"a"}, false}, {{0x0a000002, 7400}, {"b"}, false}};
    const auto source = makeFileSource(context, options, received.sink());
    source->start();
    REQUIRE(runUntil(context, [&] { return received.updates.size() == 3; }));
    const auto first = received.lastRevision();
    SUBCASE("delivers the hosts of the settings by zone and the whole file as one shard")
    {
        CHECK(std::get<HostList>(received.updates.at(0)).zone.name == "a");
        CHECK(std::get<CatalogueShard>(received.updates.at(2)).name == kFileShard);
        CHECK(first == loadCatalogueFile(file.path).revision);
    }
    SUBCASE("delivers a change with a higher revision, even if the file is replaced by an older copy")
    {
        file.write(shardText("two"));
        std::filesystem::last_write_time(file.path, std::filesystem::file_time_type::clock::now() - 24h);
        REQUIRE(runUntil(context, [&] { return received.updates.size() == 4; }));
        CHECK(received.lastRevision() > first);
        CHECK(std::get<CatalogueShard>(received.updates.back()).services.at(0).name == "two");
    }
    SUBCASE("keeps the last valid version if the new one is invalid or the file is missing")
    {
        const auto refused = counterValue(Counter::CatalogueRefused);
        file.write("services: nonsense\n");
        CHECK(runUntil(context, [&] { return counterValue(Counter::CatalogueRefused) == refused + 1; }));
        CHECK(source->stateAsJson().find("must be a list") != std::string::npos);
        std::filesystem::remove(file.path);
        CHECK(runUntil(context, [&] { return source->stateAsJson().find(R"("readable":false)") != std::string::npos; }));
        CHECK(received.updates.size() == 3);
        CHECK_THROWS_AS(loadCatalogueFile(file.path), Error);
    }
    source->stop();
}

TEST_CASE("a catalogue read from the store")
{
    asio::io_context context;
    StandinStore store(context);
    const auto first = store.put("catalogue/one", shardText("one"));
    Received received;
    StoreSourceOptions options;
    options.address = store.address();
    options.timeouts.minBackoff = 10ms;
    options.timeouts.maxBackoff = 50ms;
    options.readInterval = 1ms;
    const auto source = makeStoreSource(context, options, received.sink());
    source->setWatchedKeys({{"catalogue/one", 0}});
    source->start();
    REQUIRE(runUntil(context, [&] { return store.heldWatches() == 1; }));
    CHECK(received.lastRevision() == first);
    SUBCASE("is read once, and then the watch is held until there is a change")
    {
        CHECK(store.calls() == 2);
        const auto second = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == second && store.heldWatches() == 1; }));
        CHECK(store.calls() == 3);
    }
    SUBCASE("is delivered again, and watched further, after an exception of the sink")
    {
        received.fault = true;
        const auto second = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == second; }));
        const auto third = store.put("catalogue/one", shardText("three"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == third; }));
    }
    SUBCASE("ignores a longer key that starts with the watched one")
    {
        const auto before = store.calls();
        store.put("catalogue/one-more", shardText("two"));
        CHECK(runUntil(context, [&] { return store.calls() == before + 1 && store.heldWatches() == 1; }));
        CHECK(received.updates.size() == 1);
        const auto second = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == second; }));
    }
    SUBCASE("never goes back to an older revision")
    {
        const auto second = store.put("catalogue/one", shardText("two"));
        REQUIRE(runUntil(context, [&] { return received.lastRevision() == second && store.heldWatches() == 1; }));
        const auto stale = counterValue(Counter::CatalogueStale);
        store.rollBack("catalogue/one", shardText("one"), first);
        CHECK(runUntil(context, [&] { return counterValue(Counter::CatalogueStale) > stale + 2; }));
        CHECK(received.lastRevision() == second);
        const auto third = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == third; }));
    }
    SUBCASE("is read soon after an outage in which several calls were lost")
    {
        for (int lost = 0; lost < 2; ++lost) {
            const auto calls = store.calls();
            store.setFault(StoreFault::Reset);
            REQUIRE(runUntil(context, [&] { return store.calls() > calls + 1; }));
        }
        const auto calls = store.calls();
        store.setFault(StoreFault::Silent);
        REQUIRE(runUntil(context, [&] { return store.calls() > calls; }));
        store.setFault(StoreFault::None);
        const auto second = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == second; }));
    }
    SUBCASE("is not skipped if the store returned to an older copy and its revisions have passed the watch's")
    {
        store.keepCopy();
        store.put("catalogue/other", shardText("one"));
        store.put("catalogue/one-more", shardText("one"));
        REQUIRE(runUntil(context, [&] { return store.heldWatches() == 1; }));
        const auto calls = store.calls();
        REQUIRE(runUntil(context, [&] { return store.calls() > calls && store.heldWatches() == 1; }));
        store.setFault(StoreFault::Reset);
        REQUIRE(runUntil(context, [&] { return store.heldWatches() == 0; }));
        store.restoreCopy();
        const auto written = store.put("catalogue/one", shardText("two"));
        store.put("catalogue/other", shardText("two"));
        store.put("catalogue/other", shardText("three"));
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return received.lastRevision() == written; }));
    }
    SUBCASE("keeps the last valid version if the new one is invalid or the key is removed")
    {
        const auto refused = counterValue(Counter::CatalogueRefused);
        store.put("catalogue/one", "services: nonsense");
        CHECK(runUntil(context, [&] { return counterValue(Counter::CatalogueRefused) == refused + 1; }));
        CHECK(source->stateAsJson().find("must be a list") != std::string::npos);
        store.remove("catalogue/one");
        CHECK(runUntil(context, [&] { return source->stateAsJson().find("removed at revision") != std::string::npos; }));
        CHECK(received.updates.size() == 1);
    }
    SUBCASE("is read again after the history expired, and delivered only if it changed")
    {
        REQUIRE(store.heldWatches() == 1);
        store.setFault(StoreFault::Reset);
        const auto second = store.put("catalogue/one", shardText("two"));
        store.put("hosts/a", "hosts: []");
        store.dropHistory();
        store.setFault(StoreFault::None);
        CHECK(runUntil(context, [&] { return received.lastRevision() == second && store.heldWatches() == 1; }));
        CHECK(received.updates.size() == 2);
    }
    SUBCASE("is read again if its changes exceed the limit of a response")
    {
        REQUIRE(store.heldWatches() == 1);
        for (int copy = 0; copy < 5; ++copy) {
            store.put("catalogue/one", std::string(1 << 20U, ' '));
        }
        const auto last = store.put("catalogue/one", shardText("two"));
        CHECK(runUntil(context, [&] { return received.lastRevision() == last && store.heldWatches() == 1; }));
    }
    SUBCASE("arrives after the store was overloaded, rate-limited or unreachable")
    {
        for (const auto fault : {StoreFault::Busy, StoreFault::RateLimited, StoreFault::Reset}) {
            const auto failures = counterValue(Counter::PlatformFailures);
            store.setFault(fault);
            const auto revision = store.put("catalogue/one", shardText("two"));
            CHECK(runUntil(context, [&] { return counterValue(Counter::PlatformFailures) > failures + 3; }));
            CHECK((fault != StoreFault::Reset || source->stateAsJson().find(R"("reachable":false)") != std::string::npos));
            store.setFault(StoreFault::None);
            CHECK(runUntil(context, [&] { return received.lastRevision() == revision; }));
            CHECK(source->stateAsJson().find(R"("reachable":true)") != std::string::npos);
        }
    }
    SUBCASE("is not requested for a key that is no longer watched, nor for a revision that is already known")
    {
        const auto known = store.put("catalogue/two", shardText("two"));
        source->setWatchedKeys({{"catalogue/two", known}});
        CHECK(runUntil(context, [&] { return store.calls() == 3; }));
        CHECK(received.updates.size() == 1);
        CHECK(source->stateAsJson().find("catalogue/one") == std::string::npos);
    }
    source->stop();
    context.restart();
    context.poll();
}
