#include "soak/supervisor.h"

#include "base/random.h"

#include <cmath>
#include <csignal>
#include <fmt/format.h>
#include <utility>

namespace medlarway::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kFirstLineLimit = 10s;
constexpr auto kFirstLinePoll = 500us;
constexpr auto kPauseAfterLine = 10ms;
constexpr auto kMaxSignalDelay = 300ms;

// The share of a processor that a throttled process gets.
constexpr Duration kThrottlePeriod = 100ms;
constexpr Duration kThrottleSlice = 6ms;

} // namespace

void Supervisor::act(const Fault &fault, int host)
{
    Random random(fault.selector);
    // Short times are more frequent, since the first moments of a process are the shortest.
    const auto someTime = [&random] { return std::chrono::duration_cast<Duration>(kMaxSignalDelay * std::pow(random.unit(), 3)); };
    switch (fault.kind) {
    case FaultKind::Relaunch: {
        const bool stop = random.below(3) == 0;
        fleet_.relaunch(host, true);
        if (stop) {
            fleet_.expectStop(host);
        }
        return signal(host, fleet_.process(host), {{someTime(), stop ? SIGTERM : SIGHUP}});
    }
    case FaultKind::SlowLaunch:
        fleet_.relaunch(host, true);
        throttle(host, fleet_.process(host), fault.duration);
        return signal(host, fleet_.process(host), {{someTime(), SIGHUP}, {someTime(), SIGHUP}});
    case FaultKind::Handover:
        if (const auto next = fleet_.handOver(host)) {
            signal(host, next, {{someTime(), SIGHUP}});
        }
        return;
    case FaultKind::Rewrite:
        rewriteSettings(fleet_.process(host), fleet_.settings(host));
        return signal(host, fleet_.process(host), {{someTime() / 3, SIGHUP}});
    case FaultKind::RewriteAtLaunch:
        fleet_.relaunch(host, false);
        rewriteSettings(fleet_.process(host), fleet_.settings(host));
        return signal(host, fleet_.process(host), {{someTime() / 3, SIGHUP}});
    case FaultKind::SignalsAtStop:
        fleet_.stop(host);
        if (fleet_.isStopping(host)) {
            signal(
                host, fleet_.process(host),
                {{someTime(), SIGHUP}, {someTime(), SIGTERM}, {someTime(), SIGHUP}, {4 * someTime(), SIGTERM}, {4 * someTime(), SIGHUP}});
        }
        return;
    default:
        return;
    }
}

void Supervisor::reload(int host)
{
    signal(host, fleet_.process(host), {{0s, SIGHUP}});
}

void Supervisor::run(std::function<void()> work)
{
    ++running_;
    threads_.emplace_back([this, work = std::move(work)] {
        work();
        --running_;
    });
}

// No program can catch a signal before it has been loaded, so the signals wait for the first line of the log.
void Supervisor::signal(int host, const Process &process, const std::vector<PlannedSignal> &signals)
{
    run([this, host, process, signals] {
        const auto end = monotonicNow() + kFirstLineLimit;
        while (!process->hasLogged() && !process->waitExit(0s) && monotonicNow() < end) {
            std::this_thread::sleep_for(kFirstLinePoll);
        }
        for (const auto &planned : signals) {
            std::this_thread::sleep_for(planned.after);
            if (process->hasLogged() && !process->waitExit(0s)) {
                checker_.record(fmt::format("host {} gets signal {}", host, planned.number));
                process->signal(planned.number);
            }
        }
    });
}

void Supervisor::rewriteSettings(const Process &process, const std::string &text)
{
    run([this, process, text] {
        const std::lock_guard lock(rewriteMutex_);
        process->writeInPlace("settings.yaml", text, kPauseAfterLine);
    });
}

void Supervisor::throttle(int host, const Process &process, Duration duration)
{
    for (const auto &subject : {hostSubject(host), livenessSubject(host)}) {
        checker_.beginDisturbance(subject);
    }
    run([this, host, process, duration] {
        const auto end = monotonicNow() + duration;
        while (monotonicNow() < end && !process->waitExit(0s)) {
            process->signal(SIGSTOP);
            std::this_thread::sleep_for(kThrottlePeriod - kThrottleSlice);
            process->signal(SIGCONT);
            std::this_thread::sleep_for(kThrottleSlice);
        }
        for (const auto &subject : {hostSubject(host), livenessSubject(host)}) {
            checker_.endDisturbance(subject);
        }
    });
}

} // namespace medlarway::soak
