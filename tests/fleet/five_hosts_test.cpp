#include "daemon/caller.h"
#include "fleet/fleet.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <mutex>
#include <thread>

using namespace medlarway;

namespace
{

using std::chrono::seconds;
using std::chrono::steady_clock;

// Callers that send protected requests with keys to whichever host listens, as a fabric would hand them over.
// A caller that is refused waits as long as the refusal's Retry-After says.
class KeyedCallers
{
public:
    KeyedCallers(const Fleet &fleet, int callers)
        : fleet_(fleet)
    {
        for (int caller = 0; caller < callers; ++caller) {
            threads_.emplace_back([this, caller] { run(caller); });
        }
    }

    ~KeyedCallers()
    {
        stop();
    }

    KeyedCallers(const KeyedCallers &) = delete;
    KeyedCallers &operator=(const KeyedCallers &) = delete;

    void stop()
    {
        {
            const std::lock_guard lock(mutex_);
            stopping_ = true;
        }
        stopped_.notify_all();
        for (auto &thread : threads_) {
            thread.join();
        }
        threads_.clear();
    }

    /// The answers that were not whole, by the error that they name.
    std::string refusals() const
    {
        const std::lock_guard lock(mutex_);
        std::string text;
        for (const auto &[error, times] : refusals_) {
            text += fmt::format(" {} {}", error, times);
        }
        return text;
    }

    std::atomic<int> whole{0};
    std::atomic<int> notRun{0};
    std::atomic<int> unknown{0};
    std::atomic<int> cut{0}; ///< connected, and no whole answer came
    std::atomic<int> wrong{0}; ///< another request's answer

private:
    void run(int caller)
    {
        for (int number = 0; !stopping_; ++number) {
            const auto key = fmt::format("key-{}-{}", caller, number);
            const auto answer = httpRequest(fleet_.requests(1 + (caller + number) % kFleetHosts), "/" + key, "POST", "body", key);
            judge(answer, key);
            if (answer.retryAfterSeconds > 0) {
                std::unique_lock lock(mutex_);
                stopped_.wait_for(lock, seconds{answer.retryAfterSeconds}, [this] { return stopping_.load(); });
            }
        }
    }

    void judge(const HttpResponse &answer, const std::string &key)
    {
        if (answer.status == 200) {
            ++(answer.body.find(" POST /" + key + " ") == std::string::npos ? wrong : whole);
        } else if (answer.status != 0) {
            {
                const std::lock_guard lock(mutex_);
                ++refusals_[answer.body.substr(0, answer.body.find('\n'))];
            }
            ++(answer.outcome == "not-run" ? notRun : unknown);
        } else if (answer.error.starts_with("connect")) {
            std::this_thread::yield();
        } else {
            ++cut;
            MESSAGE("cut: ", answer.error);
        }
    }

    const Fleet &fleet_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    std::map<std::string, int> refusals_; ///< answers that were not whole, by the error that they name
    std::vector<std::thread> threads_;
};

// Whether a host still runs, and what it said last, for a check that failed.
std::string lastSign(Fleet &fleet, int host)
{
    const auto exit = fleet.process(host).waitExit(seconds{0});
    return fmt::format("host {}: {}, view {}, log {}", host, exit ? fmt::format("ended with {}", *exit) : "runs", fleet.viewSize(host),
                       fleet.process(host).logTail());
}

// A planned stop and a start with an empty memory.
void replace(Fleet &fleet, int host)
{
    fleet.process(host).signal(SIGTERM);
    const auto exit = fleet.process(host).waitExit(seconds{20});
    INFO("host ", host, " state ", exit ? "" : fleet.state(host).dump(), " log ", fleet.process(host).logTail());
    CHECK(exit.value_or(-1) == 0);
    fleet.start(host);
    REQUIRE(fleet.waitTogether());
}

} // namespace

TEST_CASE("five hosts")
{
    Fleet fleet;
    REQUIRE(fleet.waitTogether());

    SUBCASE("put a change that one of them reads in force everywhere within two seconds")
    {
        const auto published = steady_clock::now();
        fleet.publish(3, "drawings");
        for (const auto host : fleet.running()) {
            CHECK(waitUntil([&] { return fleet.serves(host, "drawings"); }, seconds{2}));
        }
        CHECK(steady_clock::now() - published < seconds{2});

        SUBCASE("and a host that starts again with the older catalogue does not take it back")
        {
            fleet.start(5);
            REQUIRE(fleet.waitTogether());
            for (const auto host : fleet.running()) {
                CHECK(waitUntil([&] { return fleet.serves(host, "drawings"); }));
            }
            CHECK(fleet.process(5).log().find("service=drawings") != std::string::npos);
        }
    }

    SUBCASE("send every packet of a scattered flow to one upstream")
    {
        ScatteredCaller caller(fleet);
        const auto upstream = caller.exchange(1);
        REQUIRE_FALSE(upstream.empty());
        for (int round = 0; round < 20; ++round) {
            CHECK(caller.exchange(1 + round % kFleetHosts) == upstream);
        }

        SUBCASE("also while each of them in turn is replaced")
        {
            for (int host = 1; host <= kFleetHosts; ++host) {
                fleet.process(host).signal(SIGTERM);
                const int other = 1 + host % kFleetHosts;
                const auto exit = waitUntil(
                    [&] {
                        CHECK(caller.exchange(other) == upstream);
                        return fleet.process(host).waitExit(seconds{0}).has_value();
                    },
                    seconds{20});
                CHECK(exit);
                fleet.start(host);
                REQUIRE(fleet.waitTogether());
                CHECK(caller.exchange(host) == upstream);
            }
        }
    }

    SUBCASE("run a protected request once, whichever of them it is sent to and however often")
    {
        REQUIRE(fleet.waitGuardsReady());
        const auto first = httpRequest(fleet.requests(1), "/order", "POST", "body", "one-key");
        CHECK(first.status == 200);
        CHECK(fleet.counter(1, "guard_grants_total") == 1);
        for (int host = 1; host <= kFleetHosts; ++host) {
            const auto repeat = httpRequest(fleet.requests(host), "/order", "POST", "body", "one-key");
            CHECK((repeat.status == 200 || repeat.outcome == "unknown"));
        }
        CHECK(fleet.requestsRun() == std::vector<std::string>{"POST /order one-key"});
    }

    SUBCASE("are replaced one after the other under load, and no request is cut")
    {
        REQUIRE(fleet.waitGuardsReady());
        KeyedCallers callers(fleet, 8);
        for (int host = 1; host <= kFleetHosts; ++host) {
            replace(fleet, host);
        }
        callers.stop();
        MESSAGE("whole ", callers.whole.load(), ", not run ", callers.notRun.load(), ", unknown ", callers.unknown.load(),
                callers.refusals());
        CHECK(callers.whole > 100);
        CHECK(callers.cut == 0);
        CHECK(callers.wrong == 0);
        CHECK(callers.unknown == 0);
        CHECK(fleet.doubles().empty());
    }

    // The third is where too few guards would be left to grant a key.
    SUBCASE("are replaced at the pace of their key guards under load, and none of them refuses a request")
    {
        REQUIRE(fleet.waitGuardsReady());
        KeyedCallers callers(fleet, 8);
        for (int host = 1; host <= 3; ++host) {
            REQUIRE(fleet.waitGuardsReady());
            replace(fleet, host);
        }
        callers.stop();
        MESSAGE("whole ", callers.whole.load(), callers.refusals());
        CHECK(callers.whole > 100);
        CHECK(callers.cut == 0);
        CHECK(callers.wrong == 0);
        CHECK(callers.unknown == 0);
        CHECK(callers.notRun == 0);
        CHECK(fleet.doubles().empty());
    }

    SUBCASE("lose one of them at once under load, and nothing runs twice")
    {
        REQUIRE(fleet.waitGuardsReady());
        KeyedCallers callers(fleet, 8);
        REQUIRE(waitUntil([&] { return callers.whole > 50; }));
        fleet.process(2).signal(SIGKILL);
        fleet.remove(2);
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1 && fleet.viewSize(5) == kFleetHosts - 1; }, seconds{20}));
        const int before = callers.whole;
        CHECK(waitUntil([&] { return callers.whole > before + 50; }));
        callers.stop();
        CHECK(callers.wrong == 0);
        CHECK(fleet.doubles().empty());
    }

    SUBCASE("go on while one of them is frozen, which notices when it wakes")
    {
        REQUIRE(fleet.waitGuardsReady());
        const auto upstream = ScatteredCaller(fleet).exchange(1);
        CHECK_FALSE(upstream.empty());
        fleet.process(4).signal(SIGSTOP);
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1; }, seconds{20}));
        fleet.publish(1, "drawings");
        CHECK(waitUntil([&] { return fleet.serves(2, "drawings"); }, seconds{2}));
        CHECK(httpRequest(fleet.requests(1), "/a", "POST", "body", "frozen-a").status == 200);
        fleet.process(4).signal(SIGCONT);
        CHECK(waitUntil([&] { return fleet.process(4).log().find("WokeLate") != std::string::npos; }));
        CHECK(waitUntil([&] { return fleet.serves(4, "drawings"); }, seconds{5}));
        REQUIRE(fleet.waitTogether());
        CHECK(httpRequest(fleet.requests(4), "/a", "POST", "body", "frozen-a").status != 200);
        CHECK(fleet.doubles().empty());
    }

    SUBCASE("serve on both sides of a cut, and no key runs on both")
    {
        REQUIRE(fleet.waitGuardsReady());
        fleet.isolate(5);
        INFO(lastSign(fleet, 1), "\n", lastSign(fleet, 5));
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1 && fleet.viewSize(5) == 1; }, seconds{30}));

        // The side with most guards runs keys; the other refuses them unrun, and serves what needs no guard.
        CHECK(httpRequest(fleet.requests(1), "/cut", "POST", "body", "cut-key").status == 200);
        const auto refused = httpRequest(fleet.requests(5), "/cut", "POST", "body", "cut-key");
        CHECK(refused.status == 503);
        CHECK(refused.outcome == "not-run");
        CHECK(httpRequest(fleet.requests(5), "/plain").status == 200);
        fleet.publish(1, "drawings");
        CHECK(waitUntil([&] { return fleet.serves(2, "drawings"); }, seconds{2}));
        CHECK_FALSE(fleet.serves(5, "drawings"));

        fleet.heal(5);
        REQUIRE(fleet.waitTogether());
        CHECK(waitUntil([&] { return fleet.serves(5, "drawings"); }, seconds{5}));
        CHECK(httpRequest(fleet.requests(5), "/cut", "POST", "body", "cut-key").status != 200);
        CHECK(fleet.doubles().empty());
    }
}
