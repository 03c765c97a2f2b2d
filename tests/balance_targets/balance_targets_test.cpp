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

TEST_CASE("target: in time at the crest within 5% of the limit")
{
    forEachRun([](const Measures &own, const Measures &limit, const Measures &) { CHECK(own.inDeadline >= 0.95 * limit.inDeadline); });
}

TEST_CASE("target: p99 of short work under long work at most 1.5 times the limit's")
{
    forEachRun([](const Measures &own, const Measures &limit, const Measures &) { CHECK(own.shortP99Ms <= 1.5 * limit.shortP99Ms); });
}

TEST_CASE("target: imbalance at most half of that of two choices")
{
    forEachRun([](const Measures &own, const Measures &, const Measures &plain) { CHECK(own.imbalance <= 0.5 * plain.imbalance); });
}
