#include "daemon/caller.h"
#include "daemon/daemon_process.h"
#include "standin/upstream.h"

#include <array>
#include <atomic>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <thread>
#include <vector>

using namespace medlarway;

namespace
{

// Where one host and its services are, on loopback addresses of this test process.
struct Places {
    std::string host = loopbackAddress(1);
    std::string operatorAddress = host + ":9900";
    std::string web = host + ":8080";
    std::string feed = host + ":8443";
    std::string sensors = host + ":8600";
};

std::string settingsText(const Places &places, const std::string &more = {}, const std::string &feedGrace = "3s")
{
    return fmt::format("host: {{address: {}, zone: a}}\noperator: {{listen: {}}}\nplatform: {{catalogue-file: catalogue.yaml}}\n"
                       "graces: {{requests: 5s, feeds: {}}}\n{}",
                       places.host, places.operatorAddress, feedGrace, more);
}

std::string serviceText(const std::string &name, const std::string &serviceClass, const std::string &kind, const std::string &address,
                        const std::vector<Endpoint> &upstreams)
{
    auto text = fmt::format(
        "- {{name: {}, owner: trust, class: {}, kind: {}, address: {}, limits: {{connections-per-upstream: 100}}, upstreams: [", name,
        serviceClass, kind, address);
    for (const auto &upstream : upstreams) {
        text += fmt::format("{{address: {}, zone: a}},", endpointToString(upstream));
    }
    return text + "]}\n";
}

std::string webText(const Places &places, const std::vector<Endpoint> &upstreams)
{
    return "services:\n" + serviceText("web", "idempotent", "http", places.web, upstreams);
}

StandinUpstreamOptions named(const std::string &name)
{
    StandinUpstreamOptions options;
    options.name = name;
    return options;
}

// Callers that ask for one body over and over, each on connections of its own, and judge every answer.
class SteadyCallers
{
public:
    SteadyCallers(std::string address, int callers)
        : address_(std::move(address))
    {
        for (int caller = 0; caller < callers; ++caller) {
            threads_.emplace_back([this] { run(); });
        }
    }

    ~SteadyCallers()
    {
        stop();
    }

    SteadyCallers(const SteadyCallers &) = delete;
    SteadyCallers &operator=(const SteadyCallers &) = delete;

    void stop()
    {
        stopping = true;
        for (auto &thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    std::atomic<int> whole{0};
    std::atomic<int> wrong{0}; ///< passed off as whole, but not the body asked for
    std::atomic<int> failed{0}; ///< no whole answer, or one that says so
    std::atomic<bool> stopping{false};

private:
    void run()
    {
        const auto expected = standinBody(kBodyBytes);
        while (!stopping) {
            const auto answer = askHttp(address_, fmt::format("/?bytes={}", kBodyBytes));
            if (answer.status != 200) {
                ++failed;
                MESSAGE("answer ", answer.status, " ", answer.outcome, " ", answer.fault);
            } else if (answer.body == expected) {
                ++whole;
            } else {
                ++wrong;
            }
        }
    }

    static constexpr std::size_t kBodyBytes = 20'000;
    std::string address_;
    std::vector<std::thread> threads_;
};

bool becomesWhole(const SteadyCallers &callers, int more)
{
    const int before = callers.whole;
    return waitUntil([&] { return callers.whole >= before + more; });
}

} // namespace

TEST_CASE("a host that serves callers")
{
    const Places places;
    auto first = std::make_unique<StandinUpstream>(named("first"));
    const StandinUpstream second(named("second"));
    const StandinUpstream third(named("third"));
    DaemonProcess daemon(settingsText(places), webText(places, {first->httpAddress(), second.httpAddress()}));
    REQUIRE(daemon.waitReady(places.operatorAddress));

    SUBCASE("gives whole answers while an upstream is killed and the catalogue is rewritten")
    {
        SteadyCallers callers(places.web, 4);
        CHECK(becomesWhole(callers, 50));
        first.reset();
        CHECK(becomesWhole(callers, 50));
        daemon.write("catalogue.yaml", webText(places, {second.httpAddress(), third.httpAddress()}));
        CHECK(waitUntil([&] { return !third.requestsRun().empty(); }));
        CHECK(becomesWhole(callers, 50));
        callers.stop();
        CHECK(callers.wrong == 0);
        // Only what ran on the killed upstream's two slots may have been cut in mid-answer.
        CHECK(callers.failed <= 2);
    }
    SUBCASE("keeps the last good catalogue where a new version is faulty")
    {
        daemon.write("catalogue.yaml", "services:\n- {name: web, colour: red}\n");
        CHECK(waitUntil([&] {
            return askHttp(places.operatorAddress, "/counters").body.find("medlarway_catalogue_refused_total 1\n") != std::string::npos;
        }));
        CHECK(askHttp(places.operatorAddress, "/state").body.find("key 'colour' is not known") != std::string::npos);
        CHECK(daemon.log().find("CatalogueRefused") != std::string::npos);
        CHECK(askHttp(places.web, "/after").body.find(" GET /after 0\n") != std::string::npos);
        daemon.write("catalogue.yaml", webText(places, {third.httpAddress()}));
        CHECK(waitUntil([&] { return askHttp(places.web, "/").body.starts_with("third "); }));
    }
    SUBCASE("stops as planned without cutting a request in progress")
    {
        std::atomic<int> whole{0};
        std::array<std::thread, 4> callers;
        for (auto &caller : callers) {
            caller = std::thread([&] { whole += askHttp(places.web, "/slow?delay=700").status == 200 ? 1 : 0; });
        }
        CHECK(waitUntil([&] { return first->requestsRun().size() + second.requestsRun().size() == 4; }));
        daemon.signal(SIGTERM);
        CHECK(waitUntil([&] { return daemon.log().find("StopRequested") != std::string::npos; }));
        CHECK(askHttp(places.operatorAddress, "/readyz").status == 503);
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(whole == 4);
        CHECK(daemon.waitExit() == 0);
    }
    SUBCASE("refuses a second start on its addresses and goes on itself")
    {
        DaemonProcess other(settingsText(places), webText(places, {second.httpAddress()}));
        CHECK(other.waitExit() == 1);
        CHECK(other.log().find("ListenFailed") != std::string::npos);
        CHECK(askHttp(places.web, "/").status == 200);
    }
    SUBCASE("reads its settings again and says what needs a restart")
    {
        daemon.write("settings.yaml", settingsText(places, "log-level: debug\ndata-threads: 2\n"));
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("needs-restart=data-threads") != std::string::npos; }));
        daemon.write("settings.yaml", "host: nonsense\n");
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("SettingsRefused") != std::string::npos; }));
        CHECK(askHttp(places.web, "/").status == 200);
    }
}

TEST_CASE("a host with open feeds and flows")
{
    const Places places;
    const StandinUpstream first(named("first"));
    const StandinUpstream second(named("second"));
    const auto feedText = serviceText("feed", "feed", "stream", places.feed, {first.streamAddress()});
    const auto sensorsText
        = serviceText("sensors", "feed", "datagram", places.sensors, {first.datagramAddress(), second.datagramAddress()});
    DaemonProcess daemon(settingsText(places), "services:\n" + feedText + sensorsText);
    REQUIRE(daemon.waitReady(places.operatorAddress));
    CallerFeed feed(places.feed);
    CHECK(feed.readLine() == "first");
    CallerDatagrams sensor(places.sensors);
    const auto answer = sensor.exchange("one");
    CHECK(answer.ends_with(": one"));

    SUBCASE("keeps them when their service moves, changes its upstreams or goes")
    {
        const auto moved = serviceText("feed", "feed", "stream", places.host + ":8444", {second.streamAddress()});
        daemon.write("catalogue.yaml", "services:\n" + moved + sensorsText);
        CHECK(waitUntil([&] {
            try {
                return CallerFeed(places.host + ":8444").readLine() == "second";
            } catch (const boost::system::system_error &) {
                return false;
            }
        }));
        CHECK(feed.echo("still here") == "still here");
        daemon.write("catalogue.yaml", "services:\n" + sensorsText);
        CHECK(waitUntil([&] { return daemon.log().find("ServiceClosed") != std::string::npos; }));
        CHECK(feed.echo("and still") == "and still");
        CHECK(sensor.exchange("two").substr(0, 5) == answer.substr(0, 5));
    }
    SUBCASE("ends them by the grace that was read last")
    {
        daemon.write("settings.yaml", settingsText(places, {}, "60s"));
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("SettingsReloaded") != std::string::npos; }));
        daemon.signal(SIGTERM);
        CHECK_FALSE(daemon.waitExit(std::chrono::seconds{4}));
        CHECK(feed.echo("still here") == "still here");
    }
    SUBCASE("finishes them in its grace at a planned stop")
    {
        daemon.signal(SIGTERM);
        CHECK(waitUntil([&] { return daemon.log().find("StopRequested") != std::string::npos; }));
        CHECK(feed.echo("still here") == "still here");
        CHECK(daemon.waitExit(std::chrono::seconds{10}) == 0);
    }
}

TEST_CASE("a host with faulty input does not start")
{
    const Places places;
    SUBCASE("when its settings have faults, all of which it names")
    {
        DaemonProcess daemon("host: {address: nowhere}\ncolour: red\n", "services: []\n");
        CHECK(daemon.waitExit() == 2);
        CHECK(daemon.log().find("key 'colour' is not known") != std::string::npos);
        CHECK(daemon.log().find("'zone' is missing") != std::string::npos);
    }
    SUBCASE("when its catalogue has faults")
    {
        DaemonProcess daemon(settingsText(places), "services: 3\n");
        CHECK(daemon.waitExit() == 2);
        CHECK(daemon.log().find("catalogue.yaml:1:11: catalogue: 'services' must be a list") != std::string::npos);
    }
}
