#include "harness/policy_rows.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::model;

TEST_CASE("target: requests in time at the peak at least 95% of those of the omniscient policy")
{
    forEachRun([](const Measures &leases, const Measures &reference, const Measures &) {
        CHECK(leases.inDeadline >= 0.95 * reference.inDeadline);
    });
}

TEST_CASE("target: p99 latency of short requests beside long ones at most 1.5 times that of the omniscient policy")
{
    forEachRun([](const Measures &leases, const Measures &reference, const Measures &) {
        CHECK(leases.shortP99Ms <= 1.5 * reference.shortP99Ms);
    });
}

TEST_CASE("target: imbalance at most half of that of two-choices")
{
    forEachRun([](const Measures &leases, const Measures &, const Measures &twoChoices) {
        CHECK(leases.imbalance <= 0.5 * twoChoices.imbalance);
    });
}
