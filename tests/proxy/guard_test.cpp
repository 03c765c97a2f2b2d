#include "proxy/fixture.h"

#include <doctest/doctest.h>
#include <mutex>
#include <utility>

using namespace medlarway;

namespace
{

std::string keyed(std::string_view key)
{
    return "POST /quote HTTP/1.1\r\nHost: r\r\nIdempotency-Key: " + std::string(key) + "\r\nContent-Length: 1\r\n\r\n1";
}

} // namespace

TEST_CASE("a protected request with a key")
{
    StandIn *self = nullptr;
    StandIn upstream([&](Wire &wire) {
        const auto request = wire.readMessage();
        self->note(request.fields.at("idempotency-key"));
        if (request.fields.at("idempotency-key") != "lost") {
            wire.send(answerText("quote " + std::to_string(self->notes().size()), "X-Quote: yes\r\n"));
        }
    });
    self = &upstream;
    const auto service = Fixture::service(ServiceKind::Http, ServiceClass::Protected, {upstream.address()});

    SUBCASE("on a host alone")
    {
        Fixture fixture;
        Wire caller(fixture.serve(service));
        SUBCASE("runs once, and a repeat gets the first one's answer")
        {
            for (int round = 0; round < 3; ++round) {
                caller.send(keyed("a"));
                const auto answer = caller.readMessage();
                CHECK(answer.body == "quote 1");
                CHECK(answer.fields.at("x-quote") == "yes");
            }
            CHECK(upstream.notes().size() == 1);
        }
        SUBCASE("whose outcome is unknown is never run again")
        {
            for (int round = 0; round < 3; ++round) {
                caller.send(keyed("lost"));
                const auto answer = caller.readMessage();
                CHECK(answer.status() == 502);
                CHECK(answer.fields.at("medlarway-outcome") == "unknown");
            }
            CHECK(upstream.notes().size() == 1);
        }
    }
    SUBCASE("in a cluster")
    {
        auto verdict = GuardVerdict::Run;
        auto lease = std::chrono::seconds{5};
        std::mutex mutex;
        std::vector<RunResult> results;
        int asks = 0;
        ProxyPorts ports;
        ports.claimKey = [&](const GuardKey &, Duration, Time, const std::function<void(GuardVerdict, Time)> &reply) {
            const bool expired = std::exchange(asks, asks + 1) == 0 && lease.count() == 0;
            std::thread([=] { reply(verdict, std::chrono::steady_clock::now() + (expired ? -lease : std::chrono::seconds{5})); }).detach();
        };
        ports.finishRun = [&](const GuardKey &, RunResult result) {
            const std::lock_guard lock(mutex);
            results.push_back(result);
        };
        const auto settled = [&] {
            const std::lock_guard lock(mutex);
            return results;
        };
        SUBCASE("is settled as ended, lost or not run")
        {
            Fixture fixture(ports);
            Wire caller(fixture.serve(service));
            caller.send(keyed("a"));
            CHECK(caller.readMessage().status() == 200);
            caller.send(keyed("lost"));
            CHECK(caller.readMessage().status() == 502);
            auto unreachable = service;
            unreachable.upstreams = Fixture::service(ServiceKind::Http, ServiceClass::Protected, {deadEndpoint()}).upstreams;
            fixture.serve(unreachable);
            caller.send(keyed("b"));
            CHECK(caller.readMessage().fields.at("medlarway-outcome") == "not-run");
            REQUIRE(eventually([&] { return settled().size() == 3; }));
            CHECK(settled() == std::vector{RunResult::Completed, RunResult::MayHaveRun, RunResult::NotRun});
        }
        SUBCASE("whose grant has run out asks again before it is sent")
        {
            lease = std::chrono::seconds{0};
            Fixture fixture(ports);
            Wire caller(fixture.serve(service));
            caller.send(keyed("a"));
            CHECK(caller.readMessage().status() == 200);
            REQUIRE(eventually([&] { return settled().size() == 2; })); // the answer is on its way before it is settled
            CHECK(settled() == std::vector{RunResult::NotRun, RunResult::Completed});
            CHECK(asks == 2);
        }
        SUBCASE("is not sent where the guard refuses")
        {
            verdict = GuardVerdict::Refused;
            Fixture fixture(ports);
            Wire caller(fixture.serve(service));
            caller.send(keyed("a"));
            CHECK(caller.readMessage().fields.at("medlarway-outcome") == "not-run");
            CHECK(settled().empty());
            CHECK(upstream.notes().empty());
        }
    }
}
