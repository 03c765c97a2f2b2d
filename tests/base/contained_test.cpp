#include "base/contained.h"
#include "base/counters.h"
#include "harness/run_until.h"

#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <new>

using namespace medlarway;

TEST_CASE("an exception")
{
    boost::asio::io_context context;
    const auto before = counterValue(Counter::InternalFaults);
    const auto faults = [before] { return counterValue(Counter::InternalFaults) - before; };
    int calls = 0;

    SUBCASE("of a function is reported")
    {
        CHECK(contain("test", [] {}));
        CHECK_FALSE(contain("test", [] { throw 1; }));
        CHECK(faults() == 1);
    }
    SUBCASE("of a coroutine is reported and ends it")
    {
        spawnContained(context, "test", [](int &started) -> boost::asio::awaitable<void> {
            ++started;
            throw std::bad_alloc();
            co_return;
        }(calls));
        context.run();
        CHECK(calls == 1);
        CHECK(faults() == 1);
    }
    SUBCASE("of a duty is reported, and the duty starts again after a pause")
    {
        const auto startedAt = std::chrono::steady_clock::now();
        spawnDuty(context, "test", [&calls]() -> boost::asio::awaitable<void> {
            if (++calls < 3) {
                throw std::runtime_error("fault");
            }
            co_return;
        });
        context.run();
        CHECK(calls == 3);
        CHECK(faults() == 2);
        CHECK(std::chrono::steady_clock::now() - startedAt >= 2 * kRestartPause);
    }
    SUBCASE("of a handler does not end the run of a context, nor keep it from being stopped")
    {
        for (int handler = 0; handler < 3; ++handler) {
            boost::asio::post(context, [&calls] {
                ++calls;
                throw 1;
            });
        }
        boost::asio::post(context, [&context] { context.stop(); });
        boost::asio::post(context, [&calls] { calls = 0; });
        runContained(context, "test");
        CHECK(calls == 3);
        CHECK(faults() == 3);
    }
}
