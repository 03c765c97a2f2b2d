#include "model/policy_bench.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::model;

namespace
{

constexpr std::uint64_t kSeeds = 10;

const std::vector<BenchRow> &benchRows()
{
    static const std::vector<BenchRow> kRows = runBench(committedScenarios(), comparedPolicies(), kSeeds);
    return kRows;
}

const BenchRow &rowOf(const std::string &scenario, const std::string &policy)
{
    return *std::find_if(benchRows().begin(), benchRows().end(),
                         [&](const BenchRow &row) { return row.scenario == scenario && row.policy == policy; });
}

/// Calls the check for every scenario and seed with the leases', the limit's and two choices' measures.
template<class Check>
void forEachRun(const Check &check)
{
    for (const Scenario &scenario : committedScenarios()) {
        CAPTURE(scenario.name);
        for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
            CAPTURE(seed + 1);
            check(rowOf(scenario.name, "leases").bySeed[seed], rowOf(scenario.name, "omniscient").bySeed[seed],
                  rowOf(scenario.name, "two-choices").bySeed[seed]);
        }
    }
}

} // namespace

TEST_CASE("target: more in time at the crest than with any plain policy")
{
    for (const Scenario &scenario : committedScenarios()) {
        CAPTURE(scenario.name);
        for (const char *plain : {"random", "round-robin", "least-connections", "two-choices"}) {
            for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
                CHECK(rowOf(scenario.name, "leases").bySeed[seed].inDeadline > rowOf(scenario.name, plain).bySeed[seed].inDeadline);
            }
        }
    }
}

TEST_CASE("target: a slot is over-subscribed by less than 1% of the starts")
{
    forEachRun([](const Measures &own, const Measures &, const Measures &) { CHECK(own.overSubscribed < 0.01); });
}

TEST_CASE("target: long work does not starve")
{
    forEachRun(
        [](const Measures &own, const Measures &limit, const Measures &) { CHECK(own.longInDeadline >= 0.9 * limit.longInDeadline); });
}
