#include "harness/policy_rows.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace medlarway::model;

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
