#include "replication/held_requests.h"

#include <doctest/doctest.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

constexpr HostId kFollower{5};
constexpr Duration kMaxAge = 3s;

FeedRequest requestAfter(std::uint64_t revision, Duration hold, bool follow = true)
{
    FeedRequest request;
    request.number = 1;
    request.after = {1, revision};
    request.version = 2;
    request.hold = hold;
    request.follow = follow;
    return request;
}

} // namespace

TEST_CASE("a follower's request")
{
    const Time now = Time{} + 1h;
    HeldRequests held;
    const SourceState current{{{1, 100}, 2}, now - 100ms, false};

    SUBCASE("is answered at once if there is something new")
    {
        held.add(kFollower, requestAfter(99, 1s), current, kMaxAge, now);
        CHECK(held.takeAnswerable(current, now).size() == 1);
        CHECK(held.size() == 0);
    }
    SUBCASE("is held until the platform has confirmed the data again")
    {
        held.add(kFollower, requestAfter(100, 1s), current, kMaxAge, now);
        CHECK(held.takeAnswerable(current, now + 500ms).empty());
        CHECK(held.nextDue() == now + 1s);
        CHECK(held.takeAnswerable({{{1, 100}, 2}, now + 600ms, false}, now + 600ms).size() == 1);
    }
    SUBCASE("is answered when it is due, even without news")
    {
        held.add(kFollower, requestAfter(100, 1s), current, kMaxAge, now);
        CHECK(held.takeAnswerable(current, now + 1s).size() == 1);
    }
    SUBCASE("is answered at once when the platform fails, so that the follower looks for another source")
    {
        held.add(kFollower, requestAfter(100, 1s), current, kMaxAge, now);
        CHECK(held.takeAnswerable({{{1, 100}, 2}, now - 100ms, true}, now + 10ms).size() == 1);
    }
    SUBCASE("to a host with old data waits for the platform's first response, but not for long")
    {
        const SourceState old{{{1, 100}, 2}, now - 10s, false};
        held.add(kFollower, requestAfter(90, 0s), old, kMaxAge, now);
        CHECK(held.takeAnswerable(old, now + 50ms).empty());
        SUBCASE("which comes")
        {
            CHECK(held.takeAnswerable({{{1, 101}, 2}, now + 60ms, false}, now + 60ms).size() == 1);
        }
        SUBCASE("which does not come")
        {
            CHECK(held.takeAnswerable(old, now + 200ms).size() == 1);
        }
    }
    SUBCASE("is replaced by a later one of the same host")
    {
        held.add(kFollower, requestAfter(100, 1s), current, kMaxAge, now);
        held.add(kFollower, requestAfter(100, 2s), current, kMaxAge, now);
        CHECK(held.size() == 1);
        CHECK(held.nextDue() == now + 2s);
    }
    SUBCASE("is never held for longer than data may be old, whatever it asks for")
    {
        held.add(kFollower, requestAfter(100, 1h), current, kMaxAge, now);
        CHECK(held.nextDue() == now + kMaxAge);
        held.add(kFollower, requestAfter(100, -1h), current, kMaxAge, now);
        CHECK(held.nextDue() == now);
    }
    SUBCASE("is not held if too many are")
    {
        for (std::uint64_t host = 1; host <= kMaxHeldRequests + 10; ++host) {
            held.add(HostId{host}, requestAfter(100, 1s), current, kMaxAge, now);
        }
        CHECK(held.takeAnswerable(current, now).size() == 10);
    }
}
