#pragma once

#include "model/policy_bench.h"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace medlarway::model
{

/// Number of seeds with which the targets are checked. Each seed has to meet the targets by itself.
inline constexpr std::uint64_t kTargetSeeds = 10;

/// The results of the standard scenarios under all policies, computed once per test program.
inline const std::vector<BenchRow> &benchRows()
{
    static const std::vector<BenchRow> kRows = runBench(standardScenarios(), comparedPolicies(), kTargetSeeds);
    return kRows;
}

/// The results of a scenario under a policy. Both must exist.
inline const BenchRow &rowOf(const std::string &scenario, const std::string &policy)
{
    return *std::find_if(benchRows().begin(), benchRows().end(),
                         [&](const BenchRow &row) { return row.scenario == scenario && row.policy == policy; });
}

/// Calls the check for every scenario and seed with the measures of the policies "leases", "omniscient" and "two-choices".
template<class Check>
void forEachRun(const Check &check)
{
    for (const Scenario &scenario : standardScenarios()) {
        CAPTURE(scenario.name);
        for (std::uint64_t seed = 0; seed < kTargetSeeds; ++seed) {
            CAPTURE(seed + 1);
            check(rowOf(scenario.name, "leases").bySeed[seed], rowOf(scenario.name, "omniscient").bySeed[seed],
                  rowOf(scenario.name, "two-choices").bySeed[seed]);
        }
    }
}

} // namespace medlarway::model
