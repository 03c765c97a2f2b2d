#include "harness/guard_steps.h"

#include <doctest/doctest.h>

using namespace medlarway;

TEST_CASE("a host restarted alone with a list that two changes made much smaller does not run what the others may run")
{
    GuardFleet fleet(3, fuzzSettings(), kFuzzWindow, 1);
    fleet.setListChanges(ListChanges::Overtaking);
    fleet.advance(kFuzzWindow + std::chrono::seconds{3});
    fleet.changeList(1);
    fleet.changeList(2);
    fleet.crash(0);
    fleet.restart(0);
    const GuardKey key{1, 1, 1};
    SUBCASE("while it hears them")
    {
        fleet.advance(kFuzzWindow + std::chrono::seconds{5});
        fleet.request(0, key);
        fleet.advance(std::chrono::seconds{2});
        fleet.request(1, key);
        fleet.advance(std::chrono::seconds{2});
    }
    SUBCASE("while it is cut off from them")
    {
        fleet.part(0b110, false);
        fleet.advance(kFuzzWindow + std::chrono::seconds{5});
        fleet.request(0, key);
        fleet.advance(std::chrono::seconds{2});
        fleet.request(1, key);
        fleet.advance(std::chrono::seconds{2});
    }
    CHECK(fleet.findDouble().empty());
}

TEST_CASE("an ask that began before its host learned a later list needs the later list's guards too")
{
    GuardFleet fleet(3, fuzzSettings(), kFuzzWindow, 2);
    fleet.setListChanges(ListChanges::Overtaking);
    fleet.advance(kFuzzWindow + std::chrono::seconds{3});
    fleet.changeList(2);
    fleet.changeList(0);
    fleet.learnList(1);
    fleet.learnList(2);
    fleet.advance(kFuzzWindow + std::chrono::seconds{5});
    const GuardKey key{1, 1, 1};
    fleet.part(0b001, false);
    fleet.request(0, key);
    fleet.learnList(0);
    fleet.request(1, key);
    fleet.network().healAll();
    fleet.advance(std::chrono::seconds{5});
    CHECK(fleet.findDouble().empty());
}

TEST_CASE("whatever happens to three to nine hosts whose list changes faster than they learn of it")
{
    CHECK(seededCheck("no key runs twice within its window", 1, 10000, 200, [] { checkGuardRun(ListChanges::Overtaking); }));
}
