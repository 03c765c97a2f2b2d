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
constexpr auto kGraceSlack = 1500ms; // of a machine that does other things too
constexpr auto kRestartAfter = 300ms;
constexpr auto kAskInterval = 500ms; // as the routers do
constexpr auto kAskTimeout = 400ms;
constexpr std::uint32_t kMissesToPassOver = 2;
constexpr auto kWatchInterval = 250ms;
constexpr unsigned kStatusOk = 200;

Endpoint endpointAt(const std::string &address, std::uint16_t port)
{
    return {parseAddress(address).value(), port};
}

} // namespace

SoakFleet::SoakFleet(const SoakOptions &options, SoakPlatform &platform, Judge &judge)
    : options_(options)
    , platform_(platform)
    , judge_(judge)
    , hosts_(static_cast<std::size_t>(options.hosts))
{
    for (int host = 0; host < options_.hosts; ++host) {
        at(host).address = loopbackAddress(host + 1);
        disturb(at(host), host, false);
        start(host);
        boost::asio::co_spawn(platform_.context(), askReady(host), boost::asio::detached);
        boost::asio::co_spawn(platform_.context(), watchConfig(host), boost::asio::detached);
    }
}

// A host is disturbed until it serves again; its life too, where it did not stop as planned.
void SoakFleet::disturb(Host &entry, int host, bool failure)
{
    if (!std::exchange(entry.disturbed, true)) {
        judge_.disturb(hostSubject(host));
    }
    if (failure && !std::exchange(entry.failing, true)) {
        judge_.disturb(lifeSubject(host));
    }
}

void SoakFleet::serves(Host &entry, int host)
{
    if (std::exchange(entry.disturbed, false)) {
        judge_.calm(hostSubject(host));
    }
    if (std::exchange(entry.failing, false)) {
        judge_.calm(lifeSubject(host));
    }
}

void SoakFleet::start(int host)
{
    const auto store = platform_.storeOf(host);
    auto &entry = at(host);
    const auto seed = loopbackAddress(1 + (host + 1) % options_.hosts);
    entry.process = std::make_unique<DaemonProcess>(entrySettingsText(entry.address, zoneOf(host, options_.zones), store, seed), "");
    const std::lock_guard lock(mutex_);
    entry.phase = Phase::Runs;
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
    judge_.note(fmt::format("host {} is killed", host));
    resume(host);
    entry.process->signal(SIGKILL);
    entry.process->waitExit();
    const std::lock_guard lock(mutex_);
    disturb(entry, host, true);
    entry.phase = Phase::Down;
    entry.since = monotonicNow();
}

void SoakFleet::stop(int host)
{
    auto &entry = at(host);
    if (entry.phase != Phase::Runs || entry.paused || entry.disturbed) {
        return;
    }
    judge_.note(fmt::format("host {} is asked to stop", host));
    const std::lock_guard lock(mutex_);
    disturb(entry, host, false);
    entry.process->signal(SIGTERM);
    entry.phase = Phase::Stops;
    entry.since = monotonicNow();
}

void SoakFleet::pause(int host)
{
    auto &entry = at(host);
    if (entry.phase != Phase::Runs || entry.paused) {
        return;
    }
    judge_.disturb(hostSubject(host));
    judge_.disturb(lifeSubject(host));
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
    judge_.calm(hostSubject(host));
    judge_.calm(lifeSubject(host));
}

void SoakFleet::reload(int host)
{
    at(host).process->signal(SIGHUP);
}

void SoakFleet::tend()
{
    for (int host = 0; host < options_.hosts; ++host) {
        auto &entry = at(host);
        const auto span = monotonicNow() - entry.since;
        const auto exit = entry.phase == Phase::Down ? std::nullopt : entry.process->waitExit(0s);
        if (exit && entry.phase == Phase::Runs) {
            judge_.blame(fmt::format("host {} ended by itself with {}: {}", host, *exit, entry.process->logTail()));
        }
        if (entry.phase == Phase::Stops && (exit.value_or(0) != 0 || span > kGrace + kGraceSlack)) {
            judge_.blame(fmt::format("stop: host {} {} after {:.2f} s: {}", host, exit ? fmt::format("ended with {}", *exit) : "still runs",
                                     std::chrono::duration<double>(span).count(), entry.process->logTail()));
            entry.process->signal(SIGKILL);
            entry.process->waitExit();
        }
        if (exit || (entry.phase == Phase::Stops && span > kGrace + kGraceSlack)) {
            const std::lock_guard lock(mutex_);
            entry.phase = Phase::Down;
            entry.since = monotonicNow();
        }
        if (entry.phase == Phase::Down && monotonicNow() - entry.since > kRestartAfter) {
            start(host);
        }
    }
}

boost::asio::awaitable<void> SoakFleet::askReady(int host)
{
    constexpr auto kWaitForCompletion = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto &entry = at(host);
    HttpReader reader(platform_.context(), endpointAt(entry.address, kReadyPort));
    boost::asio::steady_timer timer(platform_.context());
    for (;;) {
        const auto reply = co_await reader.get("/v1/ready", kAskTimeout, kAskTimeout);
        const bool ready = reply && reply->status == kStatusOk;
        {
            const std::lock_guard lock(mutex_);
            entry.misses = ready ? 0 : entry.misses + 1;
            if (ready && entry.phase == Phase::Runs) {
                serves(entry, host);
            }
        }
        timer.expires_after(kAskInterval);
        co_await timer.async_wait(kWaitForCompletion);
    }
}

boost::asio::awaitable<void> SoakFleet::watchConfig(int host)
{
    constexpr auto kWaitForCompletion = boost::asio::as_tuple(boost::asio::use_awaitable);
    auto &entry = at(host);
    HttpReader reader(platform_.context(), endpointAt(entry.address, kControlPort));
    boost::asio::steady_timer timer(platform_.context());
    std::uint64_t highest = 0;
    int highestOf = 0;
    for (;;) {
        const auto starts = entry.starts;
        const auto reply = co_await reader.get("/state", kAskTimeout, kAskTimeout);
        const auto state = reply ? nlohmann::json::parse(reply->body, nullptr, false) : nlohmann::json();
        if (state.is_object() && starts == entry.starts) {
            judgeConfig(host, starts, state.value("configVersion", std::uint64_t{0}), highest, highestOf);
        }
        timer.expires_after(kWatchInterval);
        co_await timer.async_wait(kWaitForCompletion);
    }
}

void SoakFleet::judgeConfig(int host, int starts, std::uint64_t version, std::uint64_t &highest, int &highestOf)
{
    if (starts == highestOf && version < highest) {
        judge_.blame(fmt::format("configuration: host {} went back from version {} to {}", host, highest, version));
    }
    highest = version;
    highestOf = starts;
    const auto [wanted, since] = platform_.config();
    const auto late = monotonicNow() - since - kConfigBound;
    if (version < wanted && late > 0s && judge_.isCalm(hostSubject(host)) && judge_.isCalm(kStoreSubject)) {
        judge_.blame(fmt::format("configuration: host {} has version {}, {} is {:.2f} s late", host, version, wanted,
                                 std::chrono::duration<double>(late).count()));
    }
}

// As the users' routers do: a zone's hosts that are not passed over, by a hash of which only a lost host's part moves; all of the
// zone's where fewer than half are left, those of other zones where none is.
Endpoint SoakFleet::hostOf(const std::string &zone, std::uint64_t flow) const
{
    const std::lock_guard lock(mutex_);
    std::vector<int> ofZone;
    std::vector<int> answering;
    std::vector<int> elsewhere;
    for (int host = 0; host < options_.hosts; ++host) {
        const bool answers = at(host).misses < kMissesToPassOver;
        if (zoneOf(host, options_.zones) != zone) {
            elsewhere.push_back(answers ? host : -1);
            continue;
        }
        ofZone.push_back(host);
        if (answers) {
            answering.push_back(host);
        }
    }
    std::erase(elsewhere, -1);
    auto candidates = answering.size() * 2 >= ofZone.size() ? answering : ofZone;
    if (answering.empty() && !elsewhere.empty()) {
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
    return std::all_of(hosts_.begin(), hosts_.end(), [](const Host &host) { return host.phase == Phase::Runs && host.misses == 0; });
}

} // namespace medlarway::soak
