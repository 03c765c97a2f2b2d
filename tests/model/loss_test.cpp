#include "model/fleet.h"
#include "model/measures.h"

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

/// The share of the short requests that arrived in the span which were answered in time.
double inTime(const Fleet &fleet, Duration from, Duration until)
{
    std::size_t all = 0;
    std::size_t answered = 0;
    for (const Record &record : fleet.records()) {
        const Duration at = record.arrival.at.time_since_epoch();
        if (at < from || at >= until || record.arrival.isLong) {
            continue;
        }
        ++all;
        answered += record.end == End::Answered ? 1 : 0;
    }
    return static_cast<double>(answered) / static_cast<double>(all);
}

/// Runs the scenario with every seed: each request ends, starts stay within the retry budget, and
/// from 5 s after the load and the fault are over service is as before.
void checkRecovery(const Scenario &scenario, Duration over)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        CAPTURE(seed);
        Fleet fleet{scenario, Policy{"leases", {}}, seed};
        fleet.run();
        CHECK(std::none_of(fleet.records().begin(), fleet.records().end(), [](const Record &r) { return r.end == End::Open; }));
        CHECK(static_cast<double>(fleet.totals().starts) <= 1.2 * static_cast<double>(fleet.records().size()));
        const double before = inTime(fleet, scenario.warmUp, scenario.crestAt);
        CHECK(inTime(fleet, over + 5s, scenario.end) >= before - 0.005);
    }
}

Scenario lossScenario()
{
    Scenario scenario = trustRegistry();
    scenario.end = 24s;
    return scenario;
}

constexpr Duration kCrestOver = 6s + 4s + 500ms;

} // namespace

TEST_CASE("at the crest of a threefold swing")
{
    Scenario scenario = lossScenario();

    SUBCASE("nothing is lost: service is back within 5 s of the load")
    {
        checkRecovery(scenario, kCrestOver);
    }
    SUBCASE("four upstreams die for 3 s")
    {
        for (const std::size_t upstream : {0U, 3U, 7U, 11U}) {
            scenario.faults.push_back({FaultKind::UpstreamDown, upstream, 7s, 3s});
        }
        checkRecovery(scenario, kCrestOver);
    }
    SUBCASE("all upstreams of a zone die for 3 s")
    {
        for (std::size_t upstream = 0; upstream < scenario.service.upstreams.size(); upstream += scenario.zones.size()) {
            scenario.faults.push_back({FaultKind::UpstreamDown, upstream, 7s, 3s});
        }
        checkRecovery(scenario, kCrestOver);
    }
    SUBCASE("a zone is cut off for 3 s")
    {
        scenario.faults.push_back({FaultKind::ZoneCut, 1, 7s, 3s});
        checkRecovery(scenario, kCrestOver);
    }
    SUBCASE("a host dies")
    {
        scenario.faults.push_back({FaultKind::HostDown, 2, 7s, 0s});
        checkRecovery(scenario, kCrestOver);
    }
    SUBCASE("a host dies, a zone is cut off and an upstream sheds, at once")
    {
        scenario.faults.push_back({FaultKind::HostDown, 2, 7s, 0s});
        scenario.faults.push_back({FaultKind::ZoneCut, 0, 7s, 2s});
        scenario.faults.push_back({FaultKind::UpstreamSheds, 4, 7s, 3s});
        checkRecovery(scenario, kCrestOver);
    }
}

TEST_CASE("an upstream")
{
    Scenario scenario = lossScenario();
    scenario.faults = {{FaultKind::UpstreamDrains, 2, 5s, 8s}, {FaultKind::ReportsWrong, 0, 0s, 24s}};

    SUBCASE("that drains gets nothing new 2 s after the news; one whose health report is wrong is used all the same")
    {
        for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
            CAPTURE(seed);
            Fleet fleet{scenario, Policy{"leases", {}}, seed};
            fleet.run();
            CHECK(fleet.totals().startsAtDrained == 0);
            const auto sum = std::accumulate(fleet.upstreams().begin(), fleet.upstreams().end(), Duration{},
                                             [](Duration total, const FakeUpstream &upstream) { return total + upstream.busy(); });
            CHECK(fleet.upstreams()[0].busy() * 14 >= sum * 7 / 10);
        }
    }
}

TEST_CASE("a fleet of any size from 1 to 9 hosts answers nearly all of an ordinary load")
{
    for (std::size_t hosts = 1; hosts <= 9; ++hosts) {
        CAPTURE(hosts);
        Scenario scenario = sizedScenario("sized", 3, hosts, 9, 1ms);
        scenario.crestFactor = 1.0;
        scenario.end = 12s;
        Fleet fleet{scenario, Policy{"leases", {}}, hosts};
        fleet.run();
        CHECK(inTime(fleet, 1s, 12s) >= 0.99);
        CHECK(measure(scenario, fleet).overSubscribed < 0.01);
    }
}
