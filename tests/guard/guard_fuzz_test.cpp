#include "harness/guard_steps.h"

#include <doctest/doctest.h>

using namespace medlarway;

TEST_CASE("whatever happens to three to nine hosts")
{
    CHECK(seededCheck("no key runs twice within its window", 20261204, 4000, 200, [] { checkGuardRun(ListChanges::InTurn); }));
}
