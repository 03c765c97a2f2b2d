#include "soak/fleet.h"

#include "daemon/entry_process.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarway::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr std::chrono::seconds kGrace{kEntryGraceSeconds};
constexpr auto kGraceSlack = 1500ms; // tolerance for other load on the machine
constexpr auto kRestartDelay = 300ms;
constexpr auto kProbeInterval = 500ms; // as of the real routers
constexpr auto kProbeTimeout = 400ms;
constexpr std::uint32_t kFailedProbesToSkip = 2;
constexpr auto kConfigPollInterval = 250ms;
constexpr unsigned kStatusOk = 200;

Endpoint endpointAt(const std::string &address, std::uint16_t port)
{
    return {parseAddress(address).value(), port};
}

} // namespace

SoakFleet::SoakFleet(const SoakOptions &options, SoakPlatform &platform, InvariantChecker &checker)
    : options_(options)
    , platform_(platform)
    , checker_(checker)
    , hosts_(static_cast<std::size_t>(options.hosts))
{
    for (int host = 0; host < options_.hosts; ++host) {
        at(host).address = loopbackAddress(host + 1);
        markDisturbed(at(host), host, false);
        adopt(host, launch(host));
        boost::asio::co_spawn(platform_.context(), probeReadiness(host), boost::asio::detached);
        boost::asio::co_spawn(platform_.context(), watchConfig(host), boost::asio::detached);
    }
}

// The host counts as disturbed until it is ready again, and after a failure its liveness does too.
void SoakFleet::markDisturbed(Host &entry, int host, bool failure)
{
    if (!std::exchange(entry.disturbed, true)) {
        checker_.beginDisturbance(hostSubject(host));
    }
    if (failure && !std::exchange(entry.failing, true)) {
        checker_.beginDisturbance(livenessSubject(host));
    }
}

void SoakFleet::markServing(Host &entry, int host)
{
    if (std::exchange(entry.disturbed, false)) {
        checker_.endDisturbance(hostSubject(host));
    }
    if (std::exchange(entry.failing, false)) {
        checker_.endDisturbance(livenessSubject(host));
    }
}

std::string SoakFleet::settings(int host)
{
    const auto seed = loopbackAddress(1 + (host + 1) % options_.hosts);
    return entrySettingsText(at(host).address, zoneOf(host, options_.zones), platform_.storeOf(host), seed);
}

std::shared_ptr<DaemonProcess> SoakFleet::launch(int host, bool withSettings)
{
    {
        // Before the process can respond.
        const std::lock_guard lock(mutex_);
        ++at(host).starts;
    }
    const auto folder = std::make_shared<DaemonFolder>();
    if (withSettings) {
        folder->write("settings.yaml", settings(host));
    }
    return std::make_shared<DaemonProcess>(folder);
}

void SoakFleet::adopt(int host, std::shared_ptr<DaemonProcess> process)
{
    auto &entry = at(host);
    const std::lock_guard lock(mutex_);
    entry.process = std::move(process);
    entry.next.reset();
    entry.phase = Phase::Running;
    entry.since = monotonicNow();
    entry.paused = false;
    ++entry.starts;
}

void SoakFleet::kill(int host)
{
    auto &entry = at(host);
    if (entry.phase == Phase::Down) {
        return;
    }
    checker_.record(fmt::format("host {} is killed", host));
    resume(host);
    for (const auto &process : {entry.process, entry.next}) {
        if (process) {
            process->signal(SIGKILL);
            process->waitExit();
        }
    }
    checkSettings(host);
    const std::lock_guard lock(mutex_);
    entry.next.reset();
    markDisturbed(entry, host, true);
    entry.phase = Phase::Down;
    entry.since = monotonicNow();
}

void SoakFleet::stop(int host)
{
    auto &entry = at(host);
    if (entry.phase != Phase::Running || entry.paused || entry.disturbed) {
        return;
    }
    checker_.record(fmt::format("host {} gets SIGTERM", host));
    expectStop(host);
    entry.process->signal(SIGTERM);
}

void SoakFleet::expectStop(int host)
{
    auto &entry = at(host);
    const std::lock_guard lock(mutex_);
    markDisturbed(entry, host, false);
    entry.phase = Phase::Stopping;
    entry.since = monotonicNow();
}

std::shared_ptr<DaemonProcess> SoakFleet::handOver(int host)
{
    stop(host);
    if (isStopping(host) && !hasNext(host)) {
        auto next = launch(host);
        const std::lock_guard lock(mutex_);
        at(host).next = std::move(next);
    }
    return at(host).next;
}

void SoakFleet::relaunch(int host, bool withSettings)
{
    kill(host);
    adopt(host, launch(host, withSettings));
}

bool SoakFleet::hasNext(int host) const
{
    const std::lock_guard lock(mutex_);
    return at(host).next != nullptr;
}

void SoakFleet::checkSettings(int host)
{
    const auto &process = at(host).process;
    if (process && process->log().find(" SettingsRefused ") != std::string::npos) {
        checker_.reportViolation(fmt::format("settings: host {} refused some: {}", host, process->logTail()));
    }
}

void SoakFleet::pause(int host)
{
    auto &entry = at(host);
    if (entry.phase != Phase::Running || entry.paused) {
        return;
    }
    checker_.beginDisturbance(hostSubject(host));
    checker_.beginDisturbance(livenessSubject(host));
    entry.process->signal(SIGSTOP);
    entry.paused = true;
}

void SoakFleet::resume(int host)
{
    auto &entry = at(host);
    if (!entry.paused) {
        return;
    }
    entry.paused = false;
    entry.process->signal(SIGCONT);
    checker_.endDisturbance(hostSubject(host));
    checker_.endDisturbance(livenessSubject(host));
}

void SoakFleet::update()
{
    for (int host = 0; host < options_.hosts; ++host) {
        auto &entry = at(host);
        const auto span = monotonicNow() - entry.since;
        const auto exit = entry.phase == Phase::Down ? std::nullopt : entry.process->waitExit(0s);
        if (exit && entry.phase == Phase::Running) {
            checker_.reportViolation(fmt::format("host {} exited unexpectedly with {}: {}", host, *exit, entry.process->logTail()));
        }
        if (const auto nextExit = entry.next ? entry.next->waitExit(0s) : std::nullopt) {
            checker_.reportViolation(
                fmt::format("host {}, next process, exited unexpectedly with {}: {}", host, *nextExit, entry.next->logTail()));
            const std::lock_guard lock(mutex_);
            entry.next.reset();
        }
        if (entry.phase == Phase::Stopping && (exit.value_or(0) != 0 || span > kGrace + kGraceSlack)) {
            checker_.reportViolation(fmt::format("stop: host {} {} after {:.2f} s: {}", host,
                                                 exit ? fmt::format("exited with {}", *exit) : "still runs",
                                                 std::chrono::duration<double>(span).count(), entry.process->logTail()));
            entry.process->signal(SIGKILL);
            entry.process->waitExit();
        }
        if (exit || (entry.phase == Phase::Stopping && span > kGrace + kGraceSlack)) {
            checkSettings(host);
            const std::lock_guard lock(mutex_);
            entry.phase = Phase::Down;
            entry.since = monotonicNow();
        }
        if (entry.phase == Phase::Down && (entry.next || monotonicNow() - entry.since > kRestartDelay)) {
            adopt(host, entry.next ? entry.next : launch(host));
        }
    }
}

boost::asio::awaitable<void> SoakFleet::probeReadiness(int host)
{
    constexpr auto kWaitForCompletion = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto &entry = at(host);
    HttpClient reader(platform_.context(), endpointAt(entry.address, kReadyPort));
    boost::asio::steady_timer timer(platform_.context());
    for (;;) {
        const auto starts = entry.starts;
        const auto reply = co_await reader.get("/v1/ready", kProbeTimeout, kProbeTimeout);
        const bool ready = reply && reply->status == kStatusOk;
        {
            const std::lock_guard lock(mutex_);
            entry.failedProbes = ready ? 0 : entry.failedProbes + 1;
            if (ready && entry.phase == Phase::Running && entry.starts == starts) {
                markServing(entry, host);
            }
        }
        timer.expires_after(kProbeInterval);
        co_await timer.async_wait(kWaitForCompletion);
    }
}

boost::asio::awaitable<void> SoakFleet::watchConfig(int host)
{
    constexpr auto kWaitForCompletion = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto &entry = at(host);
    HttpClient reader(platform_.context(), endpointAt(entry.address, kControlPort));
    boost::asio::steady_timer timer(platform_.context());
    std::uint64_t lastVersion = 0;
    int lastStarts = 0;
    for (;;) {
        const auto starts = entry.starts;
        const auto reply = co_await reader.get("/state", kProbeTimeout, kProbeTimeout);
        const auto state = reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
        if (state.is_object() && !hasNext(host) && starts == entry.starts) {
            checkConfig(host, starts, state.value("configVersion", std::uint64_t{0}), lastVersion, lastStarts);
        }
        timer.expires_after(kConfigPollInterval);
        co_await timer.async_wait(kWaitForCompletion);
    }
}

void SoakFleet::checkConfig(int host, int starts, std::uint64_t version, std::uint64_t &lastVersion, int &lastStarts)
{
    if (starts == lastStarts && version < lastVersion) {
        checker_.reportViolation(fmt::format("configuration: host {} went back from version {} to {}", host, lastVersion, version));
    }
    lastVersion = version;
    lastStarts = starts;
    const auto [expected, since] = platform_.config();
    const auto delay = monotonicNow() - since - kConfigBound;
    if (version < expected && delay > 0s && checker_.isStable(hostSubject(host)) && checker_.isStable(kStoreSubject)) {
        checker_.reportViolation(fmt::format("configuration: host {} has version {}, {} is {:.2f} s late", host, version, expected,
                                             std::chrono::duration<double>(delay).count()));
    }
}

// Selects like the real routers: by rendezvous hashing over the zone's hosts that are not skipped, so that only the flows of a lost host
// move; over all hosts of the zone if fewer than half of them are left; over those of other zones if none is left.
Endpoint SoakFleet::hostOf(const std::string &zone, std::uint64_t flow) const
{
    const std::lock_guard lock(mutex_);
    std::vector<int> inZone;
    std::vector<int> readyInZone;
    std::vector<int> elsewhere;
    for (int host = 0; host < options_.hosts; ++host) {
        const bool ready = at(host).failedProbes < kFailedProbesToSkip;
        if (zoneOf(host, options_.zones) != zone) {
            elsewhere.push_back(ready ? host : -1);
            continue;
        }
        inZone.push_back(host);
        if (ready) {
            readyInZone.push_back(host);
        }
    }
    std::erase(elsewhere, -1);
    auto candidates = readyInZone.size() * 2 >= inZone.size() ? readyInZone : inZone;
    if (readyInZone.empty() && !elsewhere.empty()) {
        candidates = elsewhere;
    }
    const auto best = std::max_element(candidates.begin(), candidates.end(), [flow](int a, int b) {
        return rendezvousWeight(flow, static_cast<std::uint64_t>(a)) < rendezvousWeight(flow, static_cast<std::uint64_t>(b));
    });
    return endpointAt(hosts_[static_cast<std::size_t>(*best)].address, kPacketPort);
}

bool SoakFleet::allReady() const
{
    const std::lock_guard lock(mutex_);
    return std::all_of(hosts_.begin(), hosts_.end(),
                       [](const Host &host) { return host.phase == Phase::Running && host.failedProbes == 0 && !host.disturbed; });
}

} // namespace medlarway::soak
