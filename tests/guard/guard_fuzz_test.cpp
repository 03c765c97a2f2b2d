#include "harness/guard_steps.h"

#include <doctest/doctest.h>

using namespace medlarway;

TEST_CASE("three to nine hosts under random faults and sequential host list changes")
{
    CHECK(seededCheck("no key runs twice within its window", 20261204, 4000, 200, [] { checkGuardRun(ListChanges::Sequential); }));
}
