#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <mutex>
#include <utility>

using namespace medlarway;

namespace
{

std::string requestWithKey(std::string_view key)
{
    return "POST /quote HTTP/1.1\r\nHost: r\r\nIdempotency-Key: " + std::string(key) + "\r\nContent-Length: 1\r\n\r\n1";
}

} // namespace

TEST_CASE("a protected request with a key")
{
    TestUpstream *self = nullptr;
    TestUpstream upstream([&](TestConnection &connection) {
        const auto request = connection.readMessage();
        self->record(request.fields.at("idempotency-key"));
        if (request.fields.at("idempotency-key") != "lost") {
            connection.send(responseText("quote " + std::to_string(self->records().size()), "X-Quote: yes\r\n"));
        }
    });
    self = &upstream;
    const auto service = Fixture::service(ServiceKind::Http, ServiceClass::Protected, {upstream.address()});

    SUBCASE("on a host alone")
    {
        Fixture fixture;
        TestConnection caller(fixture.serve(service));
        SUBCASE("runs once, and repeats get the stored response")
        {
            for (int round = 0; round < 3; ++round) {
                caller.send(requestWithKey("a"));
                const auto response = caller.readMessage();
                CHECK(response.body == "quote 1");
                CHECK(response.fields.at("x-quote") == "yes");
            }
            CHECK(upstream.records().size() == 1);
        }
        SUBCASE("whose outcome is unknown is never run again")
        {
            for (int round = 0; round < 3; ++round) {
                caller.send(requestWithKey("lost"));
                const auto response = caller.readMessage();
                CHECK(response.status() == 502);
                CHECK(response.fields.at("medlarway-outcome") == "unknown");
            }
            CHECK(upstream.records().size() == 1);
        }
    }
    SUBCASE("in a cluster")
    {
        auto verdict = GuardVerdict::Run;
        auto lease = std::chrono::seconds{5};
        std::mutex mutex;
        std::vector<RunResult> results;
        int claims = 0;
        ProxyPorts ports;
        ports.claimKey = [&](const GuardKey &, Duration, Time, const std::function<void(GuardVerdict, Time)> &reply) {
            const bool expired = std::exchange(claims, claims + 1) == 0 && lease.count() == 0;
            std::thread([=] { reply(verdict, std::chrono::steady_clock::now() + (expired ? -lease : std::chrono::seconds{5})); }).detach();
        };
        ports.finishRun = [&](const GuardKey &, RunResult result) {
            const std::lock_guard lock(mutex);
            results.push_back(result);
        };
        const auto reportedResults = [&] {
            const std::lock_guard lock(mutex);
            return results;
        };
        SUBCASE("is reported as completed, as possibly run or as not run")
        {
            Fixture fixture(ports);
            TestConnection caller(fixture.serve(service));
            caller.send(requestWithKey("a"));
            CHECK(caller.readMessage().status() == 200);
            caller.send(requestWithKey("lost"));
            CHECK(caller.readMessage().status() == 502);
            auto unreachable = service;
            unreachable.upstreams = Fixture::service(ServiceKind::Http, ServiceClass::Protected, {closedEndpoint()}).upstreams;
            fixture.serve(unreachable);
            caller.send(requestWithKey("b"));
            CHECK(caller.readMessage().fields.at("medlarway-outcome") == "not-run");
            REQUIRE(eventually([&] { return reportedResults().size() == 3; }));
            CHECK(reportedResults() == std::vector{RunResult::Completed, RunResult::MayHaveRun, RunResult::NotRun});
        }
        SUBCASE("whose grant has expired claims its key again before it is sent")
        {
            lease = std::chrono::seconds{0};
            Fixture fixture(ports);
            TestConnection caller(fixture.serve(service));
            caller.send(requestWithKey("a"));
            CHECK(caller.readMessage().status() == 200);
            REQUIRE(eventually([&] { return reportedResults().size() == 2; })); // the response is sent before the result is reported
            CHECK(reportedResults() == std::vector{RunResult::NotRun, RunResult::Completed});
            CHECK(claims == 2);
        }
        SUBCASE("is not sent if the guard refuses")
        {
            verdict = GuardVerdict::Refused;
            Fixture fixture(ports);
            TestConnection caller(fixture.serve(service));
            caller.send(requestWithKey("a"));
            CHECK(caller.readMessage().fields.at("medlarway-outcome") == "not-run");
            CHECK(reportedResults().empty());
            CHECK(upstream.records().empty());
        }
    }
}
