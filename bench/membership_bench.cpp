// Measures failure detection in a simulated fleet: the time until a crashed host is detected, the rate of false suspicions,
// and the cost in messages and processor time.
// Usage: membership_bench [seed [hosts]]
#include "base/hash.h"
#include "core_fleet.h"
#include "membership/membership.h"

#include <algorithm>
#include <cstdlib>
#include <fmt/format.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t kStartIncarnation = 1'700'000'000'000ULL;

using Fleet = CoreFleet<Membership, MembershipMessage>;

struct Setup {
    std::size_t hosts = 0;
    double loss = 0.0;
    std::uint64_t seed = 0;
};

// Numbers of failure events that cores reported since the last count.
struct FailureEvents {
    std::size_t suspected = 0;
    std::size_t removed = 0;
    std::size_t zonesLost = 0;
};

std::vector<ListedHost> listOf(std::size_t hosts)
{
    std::vector<ListedHost> listed;
    for (std::size_t number = 0; number < hosts; ++number) {
        listed.push_back(ListedHost{endpointOf(benchHost(number)), benchZone(number), false});
    }
    return listed;
}

Membership makeCore(const Setup &setup, std::size_t number, std::uint64_t restart, Time now)
{
    MembershipOptions options;
    options.self = benchHost(number);
    options.zone = benchZone(number);
    options.incarnation = kStartIncarnation + restart;
    options.seed = combineHash(setup.seed, number + 1000 * restart);
    Membership core(options);
    core.setListed(listOf(setup.hosts), now);
    return core;
}

// Removes the events from all cores and counts them, without suspicions and removals of the host that really crashed.
FailureEvents takeFailureEvents(Fleet &fleet, HostId crashed)
{
    FailureEvents result;
    for (auto &[id, core] : fleet.cores) {
        for (const auto &event : core.takeEvents()) {
            result.suspected += event.kind == MembershipEventKind::Suspected && event.host != crashed ? 1 : 0;
            result.removed += event.kind == MembershipEventKind::Removed && event.host != crashed ? 1 : 0;
            result.zonesLost += event.kind == MembershipEventKind::ZoneLost ? 1 : 0;
        }
    }
    return result;
}

bool everyViewHas(Fleet &fleet, std::size_t members)
{
    return std::all_of(fleet.cores.begin(), fleet.cores.end(),
                       [members](auto &entry) { return entry.second.view().members.size() == members; });
}

std::size_t viewsWithout(Fleet &fleet, HostId host, bool countSuspects)
{
    std::size_t result = 0;
    for (auto &[id, core] : fleet.cores) {
        const auto &members = core.view().members;
        const auto found = std::find_if(members.begin(), members.end(), [host](const Member &member) { return member.id == host; });
        result += found == members.end() || (countSuspects && found->state == HostState::Suspect) ? 1 : 0;
    }
    return result;
}

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// Prints the cost since the last reset and resets it. The duration is the simulated time since then.
void printCost(Fleet &fleet, const char *phase, Duration duration)
{
    const auto perHost = static_cast<double>(fleet.cores.size()) * seconds(duration);
    const auto &cost = fleet.cost;
    fmt::print("  {}: {:.0f} bytes/s and {:.1f} messages/s sent by a host, largest {} bytes, {:.0f} ns a call, {:.4f}% of a core\n", phase,
               static_cast<double>(cost.bytes) / perHost, static_cast<double>(cost.messages) / perHost, cost.maxMessageBytes,
               static_cast<double>(cost.callTime.count()) / static_cast<double>(std::max<std::size_t>(cost.calls, 1)),
               100.0 * std::chrono::duration<double>(cost.callTime).count() / perHost);
    fleet.cost = {};
}

void measureStart(Fleet &fleet, const Setup &setup)
{
    const auto joined = fleet.runUntil(180s, [&] { return everyViewHas(fleet, setup.hosts); });
    fmt::print("  start of all at once: every view whole after {:.1f} s\n", seconds(joined));
    fleet.run(150s); // until the events of the start are no longer gossiped
    takeFailureEvents(fleet, HostId{});
    fleet.cost = {};
}

void measureIdle(Fleet &fleet)
{
    constexpr Duration kDuration = 60s;
    fleet.run(kDuration);
    const auto reported = takeFailureEvents(fleet, HostId{});
    printCost(fleet, "at rest", kDuration);
    const auto hostHours = static_cast<double>(fleet.cores.size()) * seconds(kDuration) / 3600.0;
    fmt::print("  at rest: {:.1f} false suspicions and {:.1f} false removals an hour in a host's view\n",
               static_cast<double>(reported.suspected) / hostHours, static_cast<double>(reported.removed) / hostHours);
}

void measureCrash(Fleet &fleet)
{
    const auto crashed = benchHost(1);
    fleet.cores.erase(crashed);
    const auto suspected = fleet.runUntil(60s, [&] { return viewsWithout(fleet, crashed, true) > 0; });
    const auto everywhereSuspected
        = suspected + fleet.runUntil(60s, [&] { return viewsWithout(fleet, crashed, true) == fleet.cores.size(); });
    const auto removed
        = everywhereSuspected + fleet.runUntil(60s, [&] { return viewsWithout(fleet, crashed, false) == fleet.cores.size(); });
    fmt::print("  crash of one: first suspected {:.1f} s, suspected everywhere {:.1f} s, removed everywhere {:.1f} s\n", seconds(suspected),
               seconds(everywhereSuspected), seconds(removed));
}

void measureRestart(Fleet &fleet, const Setup &setup)
{
    fleet.put(benchHost(1), makeCore(setup, 1, 1, fleet.now));
    auto &restarted = fleet.cores.at(benchHost(1));
    const auto fresh = fleet.runUntil(60s, [&] { return restarted.isFresh(fleet.now) && restarted.view().members.size() == setup.hosts; });
    const auto known = fresh + fleet.runUntil(60s, [&] { return everyViewHas(fleet, setup.hosts); });
    fmt::print("  restart of one: its view whole and fresh {:.1f} s, known everywhere {:.1f} s\n", seconds(fresh), seconds(known));
}

// Restarts a host every ten seconds, which is about five times the rate on an ordinary day.
void measureChurn(Fleet &fleet, const Setup &setup)
{
    constexpr int kRestarts = 6;
    fleet.cost = {};
    for (int restart = 0; restart < kRestarts; ++restart) {
        const auto number = 2 + static_cast<std::size_t>(restart) % (setup.hosts - 2);
        fleet.put(benchHost(number), makeCore(setup, number, 2 + static_cast<std::uint64_t>(restart), fleet.now));
        fleet.run(10s);
    }
    printCost(fleet, "one restart in 10 s", kRestarts * 10s);
}

void setZoneCut(Fleet &fleet, const Setup &setup, bool isCut)
{
    for (std::size_t inside = 0; inside < setup.hosts; ++inside) {
        for (std::size_t outside = 0; outside < setup.hosts; ++outside) {
            if (!isCut || benchZone(inside) == benchZone(outside) || benchZone(inside) != benchZone(0)) {
                continue;
            }
            fleet.network.cut(benchHost(inside), benchHost(outside));
            fleet.network.cut(benchHost(outside), benchHost(inside));
        }
    }
    if (!isCut) {
        fleet.network.healAll();
    }
}

void measureZoneCut(Fleet &fleet, const Setup &setup)
{
    const auto inZone = (setup.hosts + 4) / 5;
    takeFailureEvents(fleet, HostId{});
    fleet.cost = {};
    setZoneCut(fleet, setup, true);
    const auto split = fleet.runUntil(300s, [&] {
        return std::all_of(fleet.cores.begin(), fleet.cores.end(), [&](auto &entry) {
            const auto members = entry.second.view().members.size();
            return members == inZone || members == setup.hosts - inZone;
        });
    });
    fleet.run(20s);
    const auto reported = takeFailureEvents(fleet, HostId{});
    printCost(fleet, "zone cut off", split + 20s);
    setZoneCut(fleet, setup, false);
    const auto healed = fleet.runUntil(300s, [&] { return everyViewHas(fleet, setup.hosts); });
    printCost(fleet, "after the cut heals", std::max<Duration>(healed, 1s));
    fmt::print("  zone of {} cut off: both sides' views settled {:.1f} s, hosts that reported a lost zone {}; whole again {:.1f} s after "
               "healing\n",
               inZone, seconds(split), reported.zonesLost, seconds(healed));
}

void measure(const Setup &setup)
{
    fmt::print("{} hosts, {:.0f}% of messages lost, seed {}\n", setup.hosts, setup.loss * 100, setup.seed);
    Fleet fleet(setup.seed, NetworkConditions{500us, 3ms, setup.loss, 0.0});
    for (std::size_t number = 0; number < setup.hosts; ++number) {
        fleet.put(benchHost(number), makeCore(setup, number, 0, fleet.now));
    }
    measureStart(fleet, setup);
    measureIdle(fleet);
    measureCrash(fleet);
    measureRestart(fleet, setup);
    measureChurn(fleet, setup);
    measureZoneCut(fleet, setup);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    fmt::print("memory: {} bytes a peer without the allocator's own\n", Membership::bytesPerPeer());
    for (const auto hosts : fleetSizes(argc, argv)) {
        for (const double loss : {0.0, 0.1, 0.3}) {
            measure(Setup{hosts, loss, seed});
        }
    }
    return 0;
}
