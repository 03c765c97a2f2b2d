#pragma once

#include "model/policy_bench.h"

#include <algorithm>
#include <cstdint>
#include <doctest/doctest.h>
#include <string>
#include <vector>

namespace medlarway::model
{

/// Seeds of the targets: each is judged on its own.
inline constexpr std::uint64_t kTargetSeeds = 10;

/// The committed scenarios under all policies, worked out once for a test program.
inline const std::vector<BenchRow> &benchRows()
{
    static const std::vector<BenchRow> kRows = runBench(standardScenarios(), comparedPolicies(), kTargetSeeds);
    return kRows;
}

/// The row of a scenario and a policy.
inline const BenchRow &rowOf(const std::string &scenario, const std::string &policy)
{
    return *std::find_if(benchRows().begin(), benchRows().end(),
                         [&](const BenchRow &row) { return row.scenario == scenario && row.policy == policy; });
}

/// Calls the check for every scenario and seed with the leases', the limit's and two choices' measures.
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
