#include "harness/guard_fleet.h"

#include <doctest/doctest.h>

using namespace medlarway;

namespace
{

constexpr Duration kWindow = std::chrono::seconds{60};
constexpr GuardKey kKey{1, 2, 3};

GuardSettings settingsOf(Duration startupAbstention)
{
    GuardSettings settings;
    settings.lease = std::chrono::seconds{1};
    settings.maxWindow = kWindow;
    settings.startupAbstention = startupAbstention;
    return settings;
}

GuardVerdict verdictOn(GuardFleet &fleet, std::size_t host, const GuardKey &key)
{
    fleet.request(host, key);
    const auto index = fleet.history().size() - 1;
    fleet.advance(std::chrono::seconds{2});
    REQUIRE(fleet.history()[index].returned);
    return fleet.history()[index].verdict;
}

} // namespace

TEST_CASE("a protected request")
{
    GuardFleet fleet(5, settingsOf(kWindow), kWindow, 11);

    SUBCASE("is refused while grants lost in a restart may still count")
    {
        CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Refused);
        fleet.advance(kWindow + std::chrono::seconds{5});
        CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Run);
    }
    SUBCASE("in a fleet that has been up for a window")
    {
        fleet.advance(kWindow + std::chrono::seconds{5});
        SUBCASE("runs, and its repeat does not")
        {
            CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Run);
            CHECK(fleet.history().back().ran);
            CHECK(verdictOn(fleet, 1, kKey) == GuardVerdict::MayHaveRun);
            fleet.advance(std::chrono::seconds{5});
            const auto here = verdictOn(fleet, 0, kKey);
            CHECK((here == GuardVerdict::Repeat || here == GuardVerdict::MayHaveRun));
            SUBCASE("until the window has passed")
            {
                fleet.advance(kWindow + std::chrono::seconds{5});
                CHECK(verdictOn(fleet, 1, kKey) == GuardVerdict::Run);
            }
        }
        SUBCASE("runs with two of five guards down, and is refused with three down")
        {
            fleet.crash(3);
            fleet.crash(4);
            CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Run);
            fleet.crash(2);
            CHECK(verdictOn(fleet, 0, GuardKey{1, 2, 4}) == GuardVerdict::Refused);
        }
        SUBCASE("runs on the side of a partition that has a majority of the guards")
        {
            fleet.partition(0b00011, false);
            CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Refused);
            CHECK(verdictOn(fleet, 4, kKey) == GuardVerdict::Run);
            fleet.network().healAll();
            CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::MayHaveRun);
        }
        SUBCASE("is not sent by a host that was paused past its lease")
        {
            fleet.request(0, kKey);
            while (!fleet.history().back().returned) {
                fleet.advance(std::chrono::milliseconds{1});
            }
            REQUIRE(fleet.history().back().verdict == GuardVerdict::Run);
            REQUIRE_FALSE(fleet.history().back().ran);
            fleet.pause(0);
            fleet.advance(std::chrono::seconds{30});
            fleet.wake(0);
            fleet.advance(std::chrono::seconds{5});
            CHECK_FALSE(fleet.history().back().ran);
            SUBCASE("and its key is free again")
            {
                CHECK(verdictOn(fleet, 1, kKey) == GuardVerdict::Run);
            }
        }
        SUBCASE("runs at most once while each host in turn restarts without its grants")
        {
            CHECK(verdictOn(fleet, 0, kKey) == GuardVerdict::Run);
            for (std::size_t host = 0; host < fleet.size(); ++host) {
                fleet.crash(host);
                fleet.restart(host);
                fleet.advance(std::chrono::seconds{5});
                REQUIRE(fleet.guard(host)->isRecovered(fleet.localNow(host)));
            }
            CHECK(verdictOn(fleet, 1, kKey) == GuardVerdict::MayHaveRun);
            CHECK(verdictOn(fleet, 1, GuardKey{1, 2, 4}) == GuardVerdict::Run);
        }
        SUBCASE("runs while one host after another is replaced at another address")
        {
            GuardFleet replaced(9, settingsOf(Duration{0}), kWindow, 12);
            CHECK(verdictOn(replaced, 8, kKey) == GuardVerdict::Run);
            for (std::size_t host = 0; host < 4; ++host) {
                replaced.changeList(host);
                for (std::size_t learner = 0; learner < replaced.size(); ++learner) {
                    replaced.learnList(learner);
                }
                CHECK(verdictOn(replaced, 7, kKey) == GuardVerdict::MayHaveRun);
                CHECK(verdictOn(replaced, 7, GuardKey{1, 2, 10 + host}) == GuardVerdict::Run);
            }
            CHECK(replaced.findDoubleRun().empty());
        }
        SUBCASE("does not run by the votes of new guards alone while those of the earlier list are unreachable")
        {
            GuardFleet changed(6, settingsOf(kWindow), kWindow, 13, {0, 1, 2, 3, 4});
            changed.advance(kWindow + std::chrono::seconds{5});
            changed.partition(0b010011, false);
            CHECK(verdictOn(changed, 0, kKey) == GuardVerdict::Run);
            for (const std::size_t host : {4U, 5U}) {
                changed.changeList(host);
                for (std::size_t learner = 0; learner < changed.size(); ++learner) {
                    changed.learnList(learner);
                }
            }
            CHECK(verdictOn(changed, 5, kKey) == GuardVerdict::Refused);
            CHECK(changed.findDoubleRun().empty());
        }
        CHECK(fleet.findDoubleRun().empty());
        CHECK(fleet.findContradiction().empty());
    }
}
