#include "harness/policy_rows.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::model;

TEST_CASE("target: more requests in time at the peak than with any plain policy")
{
    for (const Scenario &scenario : standardScenarios()) {
        CAPTURE(scenario.name);
        for (const char *plain : {"random", "round-robin", "least-connections", "two-choices"}) {
            for (std::uint64_t seed = 0; seed < kTargetSeeds; ++seed) {
                CHECK(rowOf(scenario.name, "leases").bySeed[seed].inDeadline > rowOf(scenario.name, plain).bySeed[seed].inDeadline);
            }
        }
    }
}

TEST_CASE("target: less than 1% of the starts are refused because all slots are in use")
{
    forEachRun([](const Measures &leases, const Measures &, const Measures &) { CHECK(leases.overSubscribed < 0.01); });
}

TEST_CASE("target: long requests do not starve")
{
    forEachRun([](const Measures &leases, const Measures &reference, const Measures &) {
        CHECK(leases.longInDeadline >= 0.9 * reference.longInDeadline);
    });
}
