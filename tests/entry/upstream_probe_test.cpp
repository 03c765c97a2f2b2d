#include "base/counters.h"
#include "entry/upstream_probe.h"
#include "harness/run_until.h"

#include <boost/asio/steady_timer.hpp>
#include <doctest/doctest.h>
#include <optional>
#include <stdexcept>
#include <sys/resource.h>

using namespace medlarway;

TEST_CASE("an exception after the probe of an upstream is reported")
{
    boost::asio::io_context context;
    const auto faults = counterValue(Counter::InternalFaults);
    UpstreamProber prober(context);
    prober.probe({0x7f000001, 1}, [](bool /*reachable*/) { throw std::runtime_error("fault of the caller"); });
    CHECK(runUntil(context, [&] { return counterValue(Counter::InternalFaults) == faults + 1; }));
}

TEST_CASE("the probe of an upstream")
{
    boost::asio::io_context context;
    UpstreamProber prober(context);
    std::optional<bool> result;
    const auto probe = [&] {
        prober.probe({0x7f000001, 1}, [&](bool reachable) { result = reachable; });
        REQUIRE(runUntil(context, [&] { return result.has_value(); }));
    };
    SUBCASE("finds one unreachable that refuses the connection")
    {
        probe();
        CHECK(result == false);
    }
    SUBCASE("says nothing against one while this host has no free descriptor")
    {
        rlimit before{};
        REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
        const boost::asio::steady_timer timer(context); // the context opens its own descriptors with the first timer
        const rlimit none{0, before.rlim_max};
        REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
        probe();
        CHECK(setrlimit(RLIMIT_NOFILE, &before) == 0);
        CHECK(result == true);
    }
}
