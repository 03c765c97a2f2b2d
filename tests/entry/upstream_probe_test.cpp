#include "base/counters.h"
#include "entry/upstream_probe.h"
#include "harness/run_until.h"

#include <doctest/doctest.h>
#include <stdexcept>

using namespace medlarway;

TEST_CASE("an exception after the probe of an upstream is reported")
{
    boost::asio::io_context context;
    const auto faults = counterValue(Counter::InternalFaults);
    UpstreamProber prober(context);
    prober.probe({0x7f000001, 1}, [](bool /*reachable*/) { throw std::runtime_error("fault of the caller"); });
    CHECK(runUntil(context, [&] { return counterValue(Counter::InternalFaults) == faults + 1; }));
}
