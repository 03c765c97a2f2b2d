#include "model/measures.h"
#include "model/simulation.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <numeric>

using namespace medlarway;
using namespace medlarway::model;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kSeeds = 5;

/// The fraction of the short requests arriving between the two times that completed by their deadline.
double answeredInTime(const Simulation &simulation, Duration from, Duration until)
{
    std::size_t all = 0;
    std::size_t answered = 0;
    for (const RequestRecord &record : simulation.records()) {
        const Duration at = record.arrival.at.time_since_epoch();
        if (at < from || at >= until || record.arrival.isLong) {
            continue;
        }
        ++all;
        answered += record.result == RequestResult::Completed ? 1 : 0;
    }
    return static_cast<double>(answered) / static_cast<double>(all);
}

/// Runs the scenario with every seed. Checks that each request gets a result, that the starts stay within the retry
/// budget, and that from 5 s after `recoveryStart` as many requests complete in time as before the peak.
void checkRecovery(const Scenario &scenario, Duration recoveryStart)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        Simulation simulation{scenario, Policy{"leases", {}}, seed};
        simulation.run();
        CHECK(std::none_of(simulation.records().begin(), simulation.records().end(),
                           [](const RequestRecord &r) { return r.result == RequestResult::Pending; }));
        CHECK(static_cast<double>(simulation.totals().starts) <= 1.2 * static_cast<double>(simulation.records().size()));
        const double before = answeredInTime(simulation, scenario.warmUp, scenario.peakStart);
        CHECK(answeredInTime(simulation, recoveryStart + 5s, scenario.end) >= before - 0.005);
    }
}

Scenario recoveryScenario()
{
    Scenario scenario = trustRegistry();
    scenario.end = 24s;
    return scenario;
}

constexpr Duration kPeakEnd = 6s + 4s + 500ms;

} // namespace

TEST_CASE("at a peak of three times the base load")
{
    Scenario scenario = recoveryScenario();

    SUBCASE("without faults, service recovers within 5 s after the peak")
    {
        checkRecovery(scenario, kPeakEnd);
    }
    SUBCASE("four upstreams are down for 3 s")
    {
        for (const std::size_t upstream : {0U, 3U, 7U, 11U}) {
            scenario.faults.push_back({FaultKind::UpstreamDown, upstream, 7s, 3s});
        }
        checkRecovery(scenario, kPeakEnd);
    }
    SUBCASE("all upstreams of a zone are down for 3 s")
    {
        for (std::size_t upstream = 0; upstream < scenario.service.upstreams.size(); upstream += scenario.zones.size()) {
            scenario.faults.push_back({FaultKind::UpstreamDown, upstream, 7s, 3s});
        }
        checkRecovery(scenario, kPeakEnd);
    }
    SUBCASE("a zone is cut off for 3 s")
    {
        scenario.faults.push_back({FaultKind::ZoneCut, 1, 7s, 3s});
        checkRecovery(scenario, kPeakEnd);
    }
    SUBCASE("a host fails")
    {
        scenario.faults.push_back({FaultKind::HostDown, 2, 7s, 0s});
        checkRecovery(scenario, kPeakEnd);
    }
    SUBCASE("a host fails, a zone is cut off and an upstream sheds at the same time")
    {
        scenario.faults.push_back({FaultKind::HostDown, 2, 7s, 0s});
        scenario.faults.push_back({FaultKind::ZoneCut, 0, 7s, 2s});
        scenario.faults.push_back({FaultKind::UpstreamSheds, 4, 7s, 3s});
        checkRecovery(scenario, kPeakEnd);
    }
}

TEST_CASE("an upstream")
{
    Scenario scenario = recoveryScenario();
    scenario.faults = {{FaultKind::UpstreamDrains, 2, 5s, 8s}, {FaultKind::ReportsWrong, 0, 0s, 24s}};

    SUBCASE("that drains gets no new requests after 2 s, and one whose health report is wrong is still used")
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            CAPTURE(seed);
            Simulation simulation{scenario, Policy{"leases", {}}, seed};
            simulation.run();
            CHECK(simulation.totals().startsOnDrained == 0);
            const auto sum = std::accumulate(simulation.upstreams().begin(), simulation.upstreams().end(), Duration{},
                                             [](Duration total, const FakeUpstream &upstream) { return total + upstream.busy(); });
            CHECK(simulation.upstreams()[0].busy() * 14 >= sum * 7 / 10);
        }
    }
}

TEST_CASE("a fleet of 1 to 9 hosts completes at least 99% of short requests in time at base load")
{
    for (std::size_t hosts = 1; hosts <= 9; ++hosts) {
        CAPTURE(hosts);
        Scenario scenario = makeScenario("sized", 3, hosts, 9, 1ms);
        scenario.peakFactor = 1.0;
        scenario.end = 12s;
        Simulation simulation{scenario, Policy{"leases", {}}, hosts};
        simulation.run();
        CHECK(answeredInTime(simulation, 1s, 12s) >= 0.99);
        CHECK(measure(scenario, simulation).overSubscribed < 0.01);
    }
}
