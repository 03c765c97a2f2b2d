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

// Callers that send protected requests with idempotency keys to the hosts in turn, as a network fabric would. After a
// refusal, a caller waits for the time given by the response's Retry-After.
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

    /// The number of refusals by the error that they report.
    std::string refusals() const
    {
        const std::lock_guard lock(mutex_);
        std::string text;
        for (const auto &[error, times] : refusals_) {
            text += fmt::format(" {} {}", error, times);
        }
        return text;
    }

    std::atomic<int> correct{0};
    std::atomic<int> notRun{0};
    std::atomic<int> unknown{0};
    std::atomic<int> incomplete{0}; ///< requests that got a connection but no complete response
    std::atomic<int> misdirected{0}; ///< responses that belong to another request

private:
    void run(int caller)
    {
        for (int number = 0; !stopping_; ++number) {
            const auto key = fmt::format("key-{}-{}", caller, number);
            const auto response = httpRequest(fleet_.requestAddress(1 + (caller + number) % kFleetHosts), "/" + key, "POST", "body", key);
            countResponse(response, key);
            if (response.retryAfterSeconds > 0) {
                std::unique_lock lock(mutex_);
                stopped_.wait_for(lock, seconds{response.retryAfterSeconds}, [this] { return stopping_.load(); });
            }
        }
    }

    void countResponse(const HttpResponse &response, const std::string &key)
    {
        if (response.status == 200) {
            ++(response.body.find(" POST /" + key + " ") == std::string::npos ? misdirected : correct);
        } else if (response.status != 0) {
            {
                const std::lock_guard lock(mutex_);
                ++refusals_[response.body.substr(0, response.body.find('\n'))];
            }
            ++(response.outcome == "not-run" ? notRun : unknown);
        } else if (response.error.starts_with("connect")) {
            std::this_thread::yield();
        } else {
            ++incomplete;
            MESSAGE("incomplete: ", response.error);
        }
    }

    const Fleet &fleet_;
    std::atomic<bool> stopping_{false};
    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    std::map<std::string, int> refusals_; ///< number of refusals by the error that they report
    std::vector<std::thread> threads_;
};

// Whether a host still runs, its view and the end of its log, for the message of a failed check.
std::string hostStatus(Fleet &fleet, int host)
{
    const auto exit = fleet.process(host).waitExit(seconds{0});
    return fmt::format("host {}: {}, view {}, log {}", host, exit ? fmt::format("exited with {}", *exit) : "runs", fleet.viewSize(host),
                       fleet.process(host).logTail());
}

// Stops a host as planned and starts it without any state.
void replace(Fleet &fleet, int host)
{
    fleet.process(host).signal(SIGTERM);
    const auto exit = fleet.process(host).waitExit(seconds{20});
    INFO("host ", host, " state ", exit ? "" : fleet.state(host).dump(), " log ", fleet.process(host).logTail());
    CHECK(exit.value_or(-1) == 0);
    fleet.start(host);
    REQUIRE(fleet.waitForFullViews());
}

} // namespace

TEST_CASE("five hosts")
{
    Fleet fleet;
    REQUIRE(fleet.waitForFullViews());

    SUBCASE("apply a catalogue change that one of them reads everywhere within two seconds")
    {
        const auto published = steady_clock::now();
        fleet.publish(3, "drawings");
        for (const auto host : fleet.running()) {
            CHECK(waitUntil([&] { return fleet.serves(host, "drawings"); }, seconds{2}));
        }
        CHECK(steady_clock::now() - published < seconds{2});

        SUBCASE("and a host that restarts with the older catalogue does not revert it")
        {
            fleet.start(5);
            REQUIRE(fleet.waitForFullViews());
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
                REQUIRE(fleet.waitForFullViews());
                CHECK(caller.exchange(host) == upstream);
            }
        }
    }

    SUBCASE("run a protected request only once, whichever of them it is sent to and however often")
    {
        REQUIRE(fleet.waitForGuards());
        const auto first = httpRequest(fleet.requestAddress(1), "/order", "POST", "body", "one-key");
        CHECK(first.status == 200);
        CHECK(fleet.counter(1, "guard_grants_total") == 1);
        for (int host = 1; host <= kFleetHosts; ++host) {
            const auto repeat = httpRequest(fleet.requestAddress(host), "/order", "POST", "body", "one-key");
            CHECK((repeat.status == 200 || repeat.outcome == "unknown"));
        }
        CHECK(fleet.requestsRun() == std::vector<std::string>{"POST /order one-key"});
    }

    SUBCASE("are replaced one after the other under load, and every response is complete")
    {
        REQUIRE(fleet.waitForGuards());
        KeyedCallers callers(fleet, 8);
        for (int host = 1; host <= kFleetHosts; ++host) {
            replace(fleet, host);
        }
        callers.stop();
        MESSAGE("correct ", callers.correct.load(), ", not run ", callers.notRun.load(), ", unknown ", callers.unknown.load(),
                callers.refusals());
        CHECK(callers.correct > 100);
        CHECK(callers.incomplete == 0);
        CHECK(callers.misdirected == 0);
        CHECK(callers.unknown == 0);
        CHECK(fleet.duplicates().empty());
    }

    // If the first two had not recovered, replacing the third would leave too few guards to grant a key.
    SUBCASE("are replaced under load as soon as all key guards have recovered, and none of them refuses a request")
    {
        REQUIRE(fleet.waitForGuards());
        KeyedCallers callers(fleet, 8);
        for (int host = 1; host <= 3; ++host) {
            REQUIRE(fleet.waitForGuards());
            replace(fleet, host);
        }
        callers.stop();
        MESSAGE("correct ", callers.correct.load(), callers.refusals());
        CHECK(callers.correct > 100);
        CHECK(callers.incomplete == 0);
        CHECK(callers.misdirected == 0);
        CHECK(callers.unknown == 0);
        CHECK(callers.notRun == 0);
        CHECK(fleet.duplicates().empty());
    }

    SUBCASE("lose one of them without notice under load, and nothing runs twice")
    {
        REQUIRE(fleet.waitForGuards());
        KeyedCallers callers(fleet, 8);
        REQUIRE(waitUntil([&] { return callers.correct > 50; }));
        fleet.process(2).signal(SIGKILL);
        fleet.remove(2);
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1 && fleet.viewSize(5) == kFleetHosts - 1; }, seconds{20}));
        const int before = callers.correct;
        CHECK(waitUntil([&] { return callers.correct > before + 50; }));
        callers.stop();
        CHECK(callers.misdirected == 0);
        CHECK(fleet.duplicates().empty());
    }

    SUBCASE("keep serving while one of them is frozen, which detects the pause when it resumes")
    {
        REQUIRE(fleet.waitForGuards());
        const auto upstream = ScatteredCaller(fleet).exchange(1);
        CHECK_FALSE(upstream.empty());
        fleet.process(4).signal(SIGSTOP);
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1; }, seconds{20}));
        fleet.publish(1, "drawings");
        CHECK(waitUntil([&] { return fleet.serves(2, "drawings"); }, seconds{2}));
        CHECK(httpRequest(fleet.requestAddress(1), "/a", "POST", "body", "frozen-a").status == 200);
        fleet.process(4).signal(SIGCONT);
        CHECK(waitUntil([&] { return fleet.process(4).log().find("WokeLate") != std::string::npos; }));
        CHECK(waitUntil([&] { return fleet.serves(4, "drawings"); }, seconds{5}));
        REQUIRE(fleet.waitForFullViews());
        CHECK(httpRequest(fleet.requestAddress(4), "/a", "POST", "body", "frozen-a").status != 200);
        CHECK(fleet.duplicates().empty());
    }

    SUBCASE("serve on both sides of a cut, and no key runs on both")
    {
        REQUIRE(fleet.waitForGuards());
        fleet.isolate(5);
        INFO(hostStatus(fleet, 1), "\n", hostStatus(fleet, 5));
        CHECK(waitUntil([&] { return fleet.viewSize(1) == kFleetHosts - 1 && fleet.viewSize(5) == 1; }, seconds{30}));

        // The side with the majority of guards runs keys. The other side refuses them without running them, and serves
        // requests that need no guard.
        CHECK(httpRequest(fleet.requestAddress(1), "/cut", "POST", "body", "cut-key").status == 200);
        const auto refused = httpRequest(fleet.requestAddress(5), "/cut", "POST", "body", "cut-key");
        CHECK(refused.status == 503);
        CHECK(refused.outcome == "not-run");
        CHECK(httpRequest(fleet.requestAddress(5), "/plain").status == 200);
        fleet.publish(1, "drawings");
        CHECK(waitUntil([&] { return fleet.serves(2, "drawings"); }, seconds{2}));
        CHECK_FALSE(fleet.serves(5, "drawings"));

        fleet.heal(5);
        REQUIRE(fleet.waitForFullViews());
        CHECK(waitUntil([&] { return fleet.serves(5, "drawings"); }, seconds{5}));
        CHECK(httpRequest(fleet.requestAddress(5), "/cut", "POST", "body", "cut-key").status != 200);
        CHECK(fleet.duplicates().empty());
    }
}
