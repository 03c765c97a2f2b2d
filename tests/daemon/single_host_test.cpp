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

// Addresses of one host and its services, on loopback addresses of this test process.
struct Addresses {
    std::string host = loopbackAddress(1);
    std::string operatorAddress = host + ":9900";
    std::string web = host + ":8080";
    std::string feed = host + ":8443";
    std::string sensors = host + ":8600";
};

std::string settingsText(const Addresses &addresses, const std::string &more = {}, const std::string &feedGrace = "3s")
{
    return fmt::format("host: {{address: {}, zone: a}}\noperator: {{listen: {}}}\nplatform: {{catalogue-file: catalogue.yaml}}\n"
                       "graces: {{requests: 5s, feeds: {}}}\n{}...\n",
                       addresses.host, addresses.operatorAddress, feedGrace, more);
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

std::string webText(const Addresses &addresses, const std::vector<Endpoint> &upstreams)
{
    return "services:\n" + serviceText("web", "idempotent", "http", addresses.web, upstreams);
}

StandinUpstreamOptions named(const std::string &name)
{
    StandinUpstreamOptions options;
    options.name = name;
    return options;
}

// Callers that request the same body repeatedly, each request on a new connection, and check every response.
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

    std::atomic<int> correct{0}; ///< responses with status 200 and the expected body
    std::atomic<int> corrupted{0}; ///< responses with status 200 and another body
    std::atomic<int> failed{0}; ///< responses that are incomplete or have another status
    std::atomic<bool> stopping{false};

private:
    void run()
    {
        const auto expected = standinBody(kBodyBytes);
        while (!stopping) {
            const auto response = httpRequest(address_, fmt::format("/?bytes={}", kBodyBytes));
            if (response.status != 200) {
                ++failed;
                MESSAGE("response ", response.status, " ", response.outcome, " ", response.error);
            } else if (response.body == expected) {
                ++correct;
            } else {
                ++corrupted;
            }
        }
    }

    static constexpr std::size_t kBodyBytes = 20'000;
    std::string address_;
    std::vector<std::thread> threads_;
};

// Waits for that many more correct responses.
bool waitForCorrect(const SteadyCallers &callers, int more)
{
    const int before = callers.correct;
    return waitUntil([&] { return callers.correct >= before + more; });
}

} // namespace

TEST_CASE("a host that serves callers")
{
    const Addresses addresses;
    auto first = std::make_unique<StandinUpstream>(named("first"));
    const StandinUpstream second(named("second"));
    const StandinUpstream third(named("third"));
    DaemonProcess daemon(settingsText(addresses), webText(addresses, {first->httpAddress(), second.httpAddress()}));
    REQUIRE(daemon.waitReady(addresses.operatorAddress));

    SUBCASE("returns complete responses while an upstream is killed and the catalogue is rewritten")
    {
        SteadyCallers callers(addresses.web, 4);
        CHECK(waitForCorrect(callers, 50));
        first.reset();
        CHECK(waitForCorrect(callers, 50));
        daemon.write("catalogue.yaml", webText(addresses, {second.httpAddress(), third.httpAddress()}));
        CHECK(waitUntil([&] { return !third.requestsRun().empty(); }));
        CHECK(waitForCorrect(callers, 50));
        callers.stop();
        CHECK(callers.corrupted == 0);
        // Only the responses in progress on the killed upstream's two slots may have been truncated.
        CHECK(callers.failed <= 2);
    }
    SUBCASE("keeps the last valid catalogue if a new version is invalid")
    {
        daemon.write("catalogue.yaml", "services:\n- {name: web, colour: red}\n");
        CHECK(waitUntil([&] {
            return httpRequest(addresses.operatorAddress, "/counters").body.find("medlarway_catalogue_refused_total 1\n")
                   != std::string::npos;
        }));
        CHECK(httpRequest(addresses.operatorAddress, "/state").body.find("key 'colour' is not known") != std::string::npos);
        CHECK(daemon.log().find("CatalogueRefused") != std::string::npos);
        CHECK(httpRequest(addresses.web, "/after").body.find(" GET /after 0\n") != std::string::npos);
        daemon.write("catalogue.yaml", webText(addresses, {third.httpAddress()}));
        CHECK(waitUntil([&] { return httpRequest(addresses.web, "/").body.starts_with("third "); }));
    }
    SUBCASE("stops as planned without cutting a request in progress")
    {
        std::atomic<int> complete{0};
        std::array<std::thread, 4> callers;
        for (auto &caller : callers) {
            caller = std::thread([&] { complete += httpRequest(addresses.web, "/slow?delay=700").status == 200 ? 1 : 0; });
        }
        CHECK(waitUntil([&] { return first->requestsRun().size() + second.requestsRun().size() == 4; }));
        daemon.signal(SIGTERM);
        CHECK(waitUntil([&] { return daemon.log().find("StopRequested") != std::string::npos; }));
        CHECK(httpRequest(addresses.operatorAddress, "/readyz").status == 503);
        for (auto &caller : callers) {
            caller.join();
        }
        CHECK(complete == 4);
        CHECK(daemon.waitExit() == 0);
    }
    SUBCASE("keeps serving when a second process fails to start on its addresses")
    {
        DaemonProcess other(settingsText(addresses), webText(addresses, {second.httpAddress()}));
        CHECK(other.waitExit() == 1);
        CHECK(other.log().find("ListenFailed") != std::string::npos);
        CHECK(httpRequest(addresses.web, "/").status == 200);
    }
    SUBCASE("reloads its settings and logs which changes need a restart")
    {
        daemon.write("settings.yaml", settingsText(addresses, "log-level: debug\ndata-threads: 2\n"));
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("needs-restart=data-threads") != std::string::npos; }));
        daemon.write("settings.yaml", "host: nonsense\n");
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("SettingsRefused") != std::string::npos; }));
        CHECK(httpRequest(addresses.web, "/").status == 200);
    }
}

TEST_CASE("a host with open feeds and flows")
{
    const Addresses addresses;
    const StandinUpstream first(named("first"));
    const StandinUpstream second(named("second"));
    const auto feedText = serviceText("feed", "feed", "stream", addresses.feed, {first.streamAddress()});
    const auto sensorsText
        = serviceText("sensors", "feed", "datagram", addresses.sensors, {first.datagramAddress(), second.datagramAddress()});
    DaemonProcess daemon(settingsText(addresses), "services:\n" + feedText + sensorsText);
    REQUIRE(daemon.waitReady(addresses.operatorAddress));
    StreamCaller feed(addresses.feed);
    CHECK(feed.readLine() == "first");
    DatagramCaller sensor(addresses.sensors);
    const auto response = sensor.exchange("one");
    CHECK(response.ends_with(": one"));

    SUBCASE("keeps them when their service moves, changes its upstreams or is removed")
    {
        const auto moved = serviceText("feed", "feed", "stream", addresses.host + ":8444", {second.streamAddress()});
        daemon.write("catalogue.yaml", "services:\n" + moved + sensorsText);
        CHECK(waitUntil([&] {
            try {
                return StreamCaller(addresses.host + ":8444").readLine() == "second";
            } catch (const boost::system::system_error &) {
                return false;
            }
        }));
        CHECK(feed.echo("still here") == "still here");
        daemon.write("catalogue.yaml", "services:\n" + sensorsText);
        CHECK(waitUntil([&] { return daemon.log().find("ServiceClosed") != std::string::npos; }));
        CHECK(feed.echo("and still") == "and still");
        CHECK(sensor.exchange("two").substr(0, 5) == response.substr(0, 5));
    }
    SUBCASE("keeps them for the drain timeout of the reloaded settings")
    {
        daemon.write("settings.yaml", settingsText(addresses, {}, "60s"));
        daemon.signal(SIGHUP);
        CHECK(waitUntil([&] { return daemon.log().find("SettingsReloaded") != std::string::npos; }));
        daemon.signal(SIGTERM);
        CHECK_FALSE(daemon.waitExit(std::chrono::seconds{4}));
        CHECK(feed.echo("still here") == "still here");
    }
    SUBCASE("serves them until its drain timeout at a planned stop")
    {
        daemon.signal(SIGTERM);
        CHECK(waitUntil([&] { return daemon.log().find("StopRequested") != std::string::npos; }));
        CHECK(feed.echo("still here") == "still here");
        CHECK(daemon.waitExit(std::chrono::seconds{10}) == 0);
    }
}

TEST_CASE("a host with invalid input does not start")
{
    const Addresses addresses;
    SUBCASE("when its settings have errors, and logs all of them")
    {
        DaemonProcess daemon("host: {address: nowhere}\ncolour: red\n", "services: []\n");
        CHECK(daemon.waitExit() == 2);
        CHECK(daemon.log().find("key 'colour' is not known") != std::string::npos);
        CHECK(daemon.log().find("'zone' is missing") != std::string::npos);
    }
    SUBCASE("when its catalogue has errors")
    {
        DaemonProcess daemon(settingsText(addresses), "services: 3\n");
        CHECK(daemon.waitExit() == 2);
        CHECK(daemon.log().find("catalogue.yaml:1:11: catalogue: 'services' must be a list") != std::string::npos);
    }
}
