#include "soak/soak.h"

#include "soak/callers.h"
#include "soak/fleet.h"
#include "soak/judge.h"
#include "soak/platform.h"

#include <fmt/format.h>
#include <functional>

namespace medlarway::soak
{

namespace
{

using namespace std::chrono_literals;

constexpr auto kStep = 10ms;
constexpr auto kStoreLag = 800ms; // until the store drops an upstream that crashed
constexpr auto kReuseAfter = 2s; // until an address may be another's
constexpr auto kDrainSpan = 5s; // from the word that an upstream drains to its end
constexpr auto kNextAfter = 500ms; // until another upstream takes the place of one that crashed
constexpr auto kRecovery = 12s; // as the users' bound has it
constexpr auto kSlowStore = 150ms;

// Does the faults when they are due, and what follows from them later.
class Injector
{
public:
    Injector(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, Judge &judge)
        : options_(options)
        , platform_(platform)
        , fleet_(fleet)
        , judge_(judge)
    {
    }

    void begin(const Fault &fault);

    /// Does what is due.
    void step();

    /// Whether nothing is left to be done.
    bool idle() const
    {
        return later_.empty();
    }

private:
    struct Later {
        Time at;
        std::function<void()> act;
    };

    void after(Duration span, std::function<void()> act);
    void forAWhile(const std::string &subject, Duration span, const std::function<void()> &begin, std::function<void()> end);
    void storeFault(const Fault &fault, StoreFault kind);
    void path(const Fault &fault, StorePath path);
    void touchPath(const Fault &fault, void (SoakPlatform::*touch)(int host));
    void replaceUpstream(const Fault &fault);
    void crashUpstream(const Fault &fault);
    void links(const Fault &fault);
    std::string serviceOf(const Fault &fault) const;
    int hostOf(const Fault &fault) const;

    SoakOptions options_;
    SoakPlatform &platform_;
    SoakFleet &fleet_;
    Judge &judge_;
    std::vector<Later> later_;
    int storeFaults_ = 0;
};

int Injector::hostOf(const Fault &fault) const
{
    return static_cast<int>(fault.draw % static_cast<std::uint64_t>(options_.hosts));
}

// The service with more upstreams is chosen more often.
std::string Injector::serviceOf(const Fault &fault) const
{
    return (fault.draw >> 32U) % 3 == 0 ? "two" : "one";
}

void Injector::after(Duration span, std::function<void()> act)
{
    later_.push_back({monotonicNow() + span, std::move(act)});
}

void Injector::step()
{
    std::vector<Later> due;
    for (std::size_t row = 0; row < later_.size();) {
        if (later_[row].at <= monotonicNow()) {
            due.push_back(std::move(later_[row]));
            later_.erase(later_.begin() + static_cast<std::ptrdiff_t>(row));
        } else {
            ++row;
        }
    }
    for (const auto &entry : due) {
        entry.act();
    }
}

void Injector::forAWhile(const std::string &subject, Duration span, const std::function<void()> &begin, std::function<void()> end)
{
    judge_.disturb(subject);
    begin();
    after(span, [this, subject, end = std::move(end)] {
        end();
        judge_.calm(subject);
    });
}

void Injector::begin(const Fault &fault)
{
    const auto host = hostOf(fault);
    judge_.note(fmt::format("{} (host {}, {:.1f} s)", faultName(fault.kind), host, std::chrono::duration<double>(fault.lasts).count()));
    switch (fault.kind) {
    case FaultKind::Stop:
        return fleet_.stop(host);
    case FaultKind::Reload:
        return fleet_.reload(host);
    case FaultKind::Change:
        return platform_.changeConfig();
    case FaultKind::Replace:
        return replaceUpstream(fault);
    case FaultKind::Kill:
        return fleet_.kill(host);
    case FaultKind::KillAll:
        for (int each = 0; each < options_.hosts; ++each) {
            fleet_.kill(each);
        }
        return;
    case FaultKind::Pause:
        fleet_.pause(host);
        return after(fault.lasts, [this, host] { fleet_.resume(host); });
    case FaultKind::Crash:
    case FaultKind::Reuse:
    case FaultKind::Restart:
        return crashUpstream(fault);
    case FaultKind::StoreBusy:
        return storeFault(fault, StoreFault::Busy);
    case FaultKind::StoreSilent:
        return storeFault(fault, StoreFault::Silent);
    case FaultKind::StoreResets:
        return storeFault(fault, StoreFault::Reset);
    case FaultKind::StoreSlow:
        return forAWhile(
            kStoreSubject, fault.lasts, [this] { platform_.setStoreDelay(kSlowStore); }, [this] { platform_.setStoreDelay(0ms); });
    case FaultKind::HistoryGone:
        return platform_.dropHistory();
    case FaultKind::StoreCut:
        return path(fault, StorePath::Silent);
    case FaultKind::StoreOneWay:
        return path(fault, StorePath::OneWay);
    case FaultKind::StoreBroken:
        return touchPath(fault, &SoakPlatform::resetPath);
    case FaultKind::StoreFrozen:
        return touchPath(fault, &SoakPlatform::freezePath);
    case FaultKind::ZoneCut:
    case FaultKind::Loss:
        return links(fault);
    case FaultKind::Count:
        return;
    }
}

// The last one that ends takes the fault back, whatever kind it was.
void Injector::storeFault(const Fault &fault, StoreFault kind)
{
    ++storeFaults_;
    forAWhile(
        kStoreSubject, fault.lasts, [this, kind] { platform_.setStoreFault(kind); },
        [this] {
            if (--storeFaults_ == 0) {
                platform_.setStoreFault(StoreFault::None);
            }
        });
}

void Injector::path(const Fault &fault, StorePath path)
{
    const auto host = hostOf(fault);
    forAWhile(
        hostSubject(host), fault.lasts, [this, host, path] { platform_.setPath(host, path); },
        [this, host] { platform_.setPath(host, StorePath::Passes); });
}

void Injector::touchPath(const Fault &fault, void (SoakPlatform::*touch)(int host))
{
    const auto host = hostOf(fault);
    forAWhile(
        hostSubject(host), {}, [this, host, touch] { (platform_.*touch)(host); }, [] {});
}

void Injector::replaceUpstream(const Fault &fault)
{
    const auto service = serviceOf(fault);
    const auto id = platform_.pickUpstream(service, fault.draw);
    if (id.empty()) {
        return;
    }
    judge_.note(fmt::format("{} is replaced by {}", id, platform_.startUpstream(service)));
    platform_.drain(id);
    after(kDrainSpan, [this, id] {
        platform_.endUpstream(id);
        platform_.delist(id);
    });
}

void Injector::crashUpstream(const Fault &fault)
{
    const auto service = serviceOf(fault);
    const auto id = platform_.pickUpstream(service, fault.draw);
    if (id.empty()) {
        return;
    }
    judge_.note(fmt::format("{} of {} ends", id, service));
    if (fault.kind == FaultKind::Restart) {
        return platform_.restartUpstream(id);
    }
    platform_.endUpstream(id);
    after(kStoreLag, [this, id] { platform_.delist(id); });
    after(kNextAfter, [this, service] { platform_.startUpstream(service); });
    if (fault.kind == FaultKind::Reuse) {
        after(kStoreLag + kReuseAfter,
              [this, id] { judge_.note(fmt::format("{} has the address of {}", platform_.reuseAddress(id), id)); });
    }
}

void Injector::links(const Fault &fault)
{
    const auto zone = hostOf(fault);
    const bool cut = fault.kind == FaultKind::ZoneCut;
    forAWhile(
        kLinksSubject, fault.lasts, [=, this] { cut ? platform_.cutZone(zone, true) : platform_.setLoss(true); },
        [=, this] { cut ? platform_.cutZone(zone, false) : platform_.setLoss(false); });
}

// Every host takes packets again within the bound, and every route answers.
void judgeRecovery(const SoakOptions &options, SoakPlatform &platform, SoakFleet &fleet, Injector &injector, Judge &judge)
{
    const auto healed = monotonicNow();
    while (!(fleet.allReady() && injector.idle()) && monotonicNow() - healed < kRecovery) {
        fleet.tend();
        injector.step();
        std::this_thread::sleep_for(kStep);
    }
    if (!fleet.allReady()) {
        judge.blame("recovery: not every host takes packets again");
    }
    constexpr int kCheckerAddress = 250;
    StandinPacketClient client({parseAddress(loopbackAddress(kCheckerAddress)).value(), kPacketPort});
    for (const auto &route : platform.routes()) {
        for (int zone = 0; zone < options.zones; ++zone) {
            const auto host = [&](std::uint16_t port) { return fleet.hostOf(zoneOf(zone, options.zones), port); };
            bool served = false;
            while (!served && monotonicNow() - healed < kRecovery + 2s) {
                served = client.open(host, route.address) == ClientEvent::Opened && client.exchange(host, "?") == ClientEvent::Data;
            }
            if (!served) {
                judge.blame(fmt::format("recovery: route {} is not served in zone {}", endpointToString(route.address), zone));
            }
        }
    }
}

} // namespace

SoakResult runSoak(const SoakOptions &options)
{
    Judge judge(monotonicNow());
    SoakPlatform platform(options, judge);
    SoakFleet fleet(options, platform, judge);
    Injector injector(options, platform, fleet, judge);
    SoakResult result;
    if (!waitUntil([&] { return fleet.allReady(); }, std::chrono::seconds{20})) {
        judge.blame("the hosts did not start");
    }
    {
        SoakCallers callers(options, platform, fleet, judge);
        const auto begun = monotonicNow();
        const auto faults = drawFaults(options);
        auto next = faults.begin();
        while (next != faults.end() || monotonicNow() - begun < options.length) {
            for (; next != faults.end() && next->at <= monotonicNow() - begun; ++next) {
                injector.begin(*next);
            }
            injector.step();
            fleet.tend();
            std::this_thread::sleep_for(kStep);
        }
        judgeRecovery(options, platform, fleet, injector, judge);
        callers.stop();
        result.answers = callers.answers;
        result.resets = callers.resets;
        result.unanswered = callers.unanswered;
    }
    result.broken = judge.broken();
    result.story = judge.story();
    return result;
}

} // namespace medlarway::soak
