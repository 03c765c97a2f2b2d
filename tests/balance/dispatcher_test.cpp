#include "balance/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <unordered_set>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

constexpr Time kStart{1h};

Endpoint upstreamAt(std::uint16_t number)
{
    return Endpoint{0x7f000001, number};
}

Service serviceOf(std::uint16_t upstreams, ServiceClass serviceClass = ServiceClass::Idempotent)
{
    Service service{.name = "quotes", .owner = "", .serviceClass = serviceClass, .address = {}, .upstreams = {}, .limits = {}};
    for (std::uint16_t i = 1; i <= upstreams; ++i) {
        service.upstreams.push_back({upstreamAt(i), {i % 2 == 1 ? "ghent" : "kortrijk"}, false});
    }
    return service;
}

Dispatcher dispatcherOf(const Service &service, std::uint64_t self = 1)
{
    return Dispatcher{service, HostId{self}, {"ghent"}, 7};
}

Request requestOf(RequestId id, std::uint64_t caller = 1, Duration timeLeft = 10s)
{
    return Request{.id = id, .caller = caller, .path = 1, .deadline = kStart + timeLeft};
}

} // namespace

TEST_CASE("a new request")
{
    Dispatcher dispatcher = dispatcherOf(serviceOf(2));
    Decisions decisions;

    SUBCASE("starts at an idle upstream of the host's own zone")
    {
        dispatcher.submit(requestOf(1), kStart, decisions);
        REQUIRE(decisions.starts.size() == 1);
        CHECK(decisions.starts[0].upstream == upstreamAt(1));
    }
    SUBCASE("starts in another zone if the upstream of its own is full, and waits if all are full")
    {
        for (RequestId id = 1; id <= 5; ++id) {
            dispatcher.submit(requestOf(id), kStart, decisions);
        }
        CHECK(decisions.starts.size() == 4);
        CHECK(std::count_if(decisions.starts.begin(), decisions.starts.end(), [](const Start &s) { return s.upstream == upstreamAt(2); })
              == 2);
        CHECK(dispatcher.openRequests() == 5);
        CHECK(dispatcher.nextTick().has_value());
        Decisions later;
        dispatcher.finish(decisions.starts[0].request, AttemptResult::Completed, {}, kStart + 10ms, later);
        REQUIRE(later.starts.size() == 1);
        CHECK(later.starts[0].request == 5);
    }
    SUBCASE("whose deadline has passed is refused")
    {
        dispatcher.submit(requestOf(1, 1, -1ms), kStart, decisions);
        REQUIRE(decisions.refusals.size() == 1);
        CHECK(decisions.refusals[0].kind == ErrorKind::DeadlineUnreachable);
    }
    SUBCASE("is refused at once if every upstream is draining")
    {
        Service service = serviceOf(1);
        service.upstreams[0].draining = true;
        dispatcher.setService(service, kStart, decisions);
        dispatcher.submit(requestOf(1), kStart, decisions);
        REQUIRE(decisions.refusals.size() == 1);
        CHECK(decisions.refusals[0].kind == ErrorKind::NoUpstream);
    }
}

TEST_CASE("the queue")
{
    Service service = serviceOf(1);
    service.limits.queueLength = 4;
    Dispatcher dispatcher = dispatcherOf(service);
    Decisions decisions;
    for (RequestId id = 1; id <= 6; ++id) {
        dispatcher.submit(requestOf(id), kStart, decisions);
    }
    REQUIRE(decisions.starts.size() == 2);

    SUBCASE("refuses another request of the only caller when it is full")
    {
        dispatcher.submit(requestOf(7), kStart, decisions);
        REQUIRE(decisions.refusals.size() == 1);
        CHECK(decisions.refusals[0].request == 7);
        CHECK(decisions.refusals[0].kind == ErrorKind::QueueFull);
    }
    SUBCASE("drops a request of the busiest caller to make room for a caller with none waiting")
    {
        dispatcher.submit(requestOf(7, 2), kStart, decisions);
        REQUIRE(decisions.refusals.size() == 1);
        CHECK(decisions.refusals[0].request == 6);
        CHECK(decisions.refusals[0].kind == ErrorKind::CallerOverShare);
    }
    SUBCASE("is served in the order of deadlines")
    {
        dispatcher.cancel(6, kStart, decisions);
        dispatcher.submit(requestOf(7, 1, 1s), kStart, decisions);
        Decisions later;
        dispatcher.finish(1, AttemptResult::CallerDisconnected, {}, kStart, later);
        REQUIRE(later.starts.size() == 1);
        CHECK(later.starts[0].request == 7);
    }
    SUBCASE("refuses requests that can no longer meet their deadline")
    {
        Decisions later;
        dispatcher.tick(kStart + 11s, later);
        CHECK(later.refusals.size() == 4);
        CHECK(dispatcher.openRequests() == 2);
    }
}

TEST_CASE("a failed attempt")
{
    const auto failOnce = [](ServiceClass serviceClass, AttemptResult result) {
        Dispatcher dispatcher = dispatcherOf(serviceOf(3, serviceClass));
        Decisions first;
        dispatcher.submit(requestOf(1), kStart, first);
        REQUIRE(first.starts.size() == 1);
        Decisions then;
        dispatcher.finish(1, result, {}, kStart + 1ms, then);
        dispatcher.tick(kStart + 100ms, then);
        for (const Start &start : then.starts) {
            CHECK(start.upstream != first.starts[0].upstream);
        }
        CHECK(then.starts.size() + then.refusals.size() <= 1);
        return then;
    };

    SUBCASE("that did not run is retried at another upstream, in every service class")
    {
        for (const ServiceClass serviceClass : {ServiceClass::Idempotent, ServiceClass::Protected, ServiceClass::Feed}) {
            CHECK(failOnce(serviceClass, AttemptResult::Shed).starts.size() == 1);
            CHECK(failOnce(serviceClass, AttemptResult::ConnectFailed).starts.size() == 1);
        }
    }
    SUBCASE("that may have run is retried for an idempotent service only")
    {
        CHECK(failOnce(ServiceClass::Idempotent, AttemptResult::Lost).starts.size() == 1);
        const Decisions decisions = failOnce(ServiceClass::Protected, AttemptResult::Lost);
        CHECK(decisions.starts.empty());
        REQUIRE(decisions.refusals.size() == 1);
        CHECK(decisions.refusals[0].kind == ErrorKind::UpstreamLost);
    }
    SUBCASE("with a truncated response is neither retried nor refused")
    {
        const Decisions decisions = failOnce(ServiceClass::Idempotent, AttemptResult::Truncated);
        CHECK(decisions.starts.empty());
        CHECK(decisions.refusals.empty());
    }
}

TEST_CASE("a long-lived connection")
{
    const Service service = serviceOf(6);

    SUBCASE("with the same hint goes to the same upstream on every host")
    {
        Dispatcher here = dispatcherOf(service, 1);
        Dispatcher there = dispatcherOf(service, 2);
        std::unordered_set<Endpoint> seen;
        for (std::uint64_t hint = 0; hint < 100; ++hint) {
            const auto chosen = here.openConnection(hint, kStart);
            CHECK(chosen == there.openConnection(hint, kStart));
            seen.insert(*chosen);
        }
        CHECK(seen.size() == 6);
    }
    SUBCASE("is refused if every upstream is at its limit")
    {
        Service small = serviceOf(2);
        small.limits.connectionsPerUpstream = 2;
        Dispatcher dispatcher = dispatcherOf(small);
        for (std::uint64_t hint = 0; hint < 4; ++hint) {
            CHECK(dispatcher.openConnection(hint, kStart).has_value());
        }
        CHECK(!dispatcher.openConnection(9, kStart).has_value());
        dispatcher.closeConnection(upstreamAt(1), false, kStart);
        CHECK(dispatcher.openConnection(9, kStart) == upstreamAt(1));
    }
}
