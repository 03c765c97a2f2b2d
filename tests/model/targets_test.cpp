#include "harness/policy_rows.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::model;

TEST_CASE("target: more in time at the crest than with any plain policy")
{
    for (const Scenario &scenario : committedScenarios()) {
        CAPTURE(scenario.name);
        for (const char *plain : {"random", "round-robin", "least-connections", "two-choices"}) {
            for (std::uint64_t seed = 0; seed < kTargetSeeds; ++seed) {
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
