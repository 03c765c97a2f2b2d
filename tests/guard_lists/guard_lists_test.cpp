#include "harness/guard_steps.h"

#include <doctest/doctest.h>

using namespace medlarway;

TEST_CASE("a host that restarts with a list made much smaller by two changes does not run a key that the others may run")
{
    GuardFleet fleet(3, fuzzSettings(), kFuzzWindow, 1);
    fleet.setListChanges(ListChanges::Concurrent);
    fleet.advance(kFuzzWindow + std::chrono::seconds{3});
    fleet.changeList(1);
    fleet.changeList(2);
    fleet.crash(0);
    fleet.restart(0);
    const GuardKey key{1, 1, 1};
    SUBCASE("while it is connected to them")
    {
        fleet.advance(kFuzzWindow + std::chrono::seconds{5});
        fleet.request(0, key);
        fleet.advance(std::chrono::seconds{2});
        fleet.request(1, key);
        fleet.advance(std::chrono::seconds{2});
    }
    SUBCASE("while it is partitioned from them")
    {
        fleet.partition(0b110, false);
        fleet.advance(kFuzzWindow + std::chrono::seconds{5});
        fleet.request(0, key);
        fleet.advance(std::chrono::seconds{2});
        fleet.request(1, key);
        fleet.advance(std::chrono::seconds{2});
    }
    CHECK(fleet.findDoubleRun().empty());
}

TEST_CASE("a claim made before its host received a later list also needs the guards of the later list")
{
    GuardFleet fleet(3, fuzzSettings(), kFuzzWindow, 2);
    fleet.setListChanges(ListChanges::Concurrent);
    fleet.advance(kFuzzWindow + std::chrono::seconds{3});
    fleet.changeList(2);
    fleet.changeList(0);
    fleet.learnList(1);
    fleet.learnList(2);
    fleet.advance(kFuzzWindow + std::chrono::seconds{5});
    const GuardKey key{1, 1, 1};
    fleet.partition(0b001, false);
    fleet.request(0, key);
    fleet.learnList(0);
    fleet.request(1, key);
    fleet.network().healAll();
    fleet.advance(std::chrono::seconds{5});
    CHECK(fleet.findDoubleRun().empty());
}

TEST_CASE("three to nine hosts under random faults and host list changes faster than they receive them")
{
    CHECK(seededCheck("no key runs twice within its window", 1, 10000, 200, [] { checkGuardRun(ListChanges::Concurrent); }));
}
