// Measures the flow router: memory per flow, lookups and packet decisions on one core, and the flows that change their
// upstream when one of five hosts leaves, joins or crashes while packets arrive at any host and upstreams change.
#include "flows/flow_router.h"
#include "flows/flow_table.h"
#include "harness/flow_fleet.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <chrono>
#include <fmt/format.h>
#include <set>
#include <string_view>

ABSL_FLAG(std::size_t, flows, 500'000, "flows in the table");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the first fleet");
ABSL_FLAG(int, seeds, 3, "number of fleets for each change, with consecutive seeds");

using namespace medlarway;

namespace
{

using Clock = std::chrono::steady_clock;

FlowKey flowOf(std::uint64_t number)
{
    return {{0x0b000000U + static_cast<std::uint32_t>(number), static_cast<std::uint16_t>(1024 + number % 50'000)}, {0x7f000001, 9000}};
}

View viewOf(std::size_t hosts)
{
    View view;
    for (std::size_t host = 0; host < hosts; ++host) {
        view.members.push_back({HostId{host + 1}, {}, HostState::Alive, 0});
    }
    return view;
}

// Calls the function with random flow numbers. Prints the mean time of a call and how often it returned true.
template<class Function>
void measure(std::string_view label, std::size_t flows, const Function &function)
{
    constexpr int kCalls = 1'000'000;
    Random random(7);
    const auto start = Clock::now();
    std::size_t found = 0;
    for (int call = 0; call < kCalls; ++call) {
        found += function(random.below(flows)) ? 1 : 0;
    }
    const auto nanoseconds = std::chrono::duration<double, std::nano>(Clock::now() - start).count() / kCalls;
    fmt::print("{:<44} {:7.1f} ns {:6.2f} million/s, found {:.1f}%\n", label, nanoseconds, 1000.0 / nanoseconds,
               100.0 * static_cast<double>(found) / kCalls);
}

void measureTable(std::size_t flows)
{
    FlowTable table(flows);
    for (std::uint64_t number = 0; number < flows; ++number) {
        table.findOrInsert(flowOf(number), FlowLocation::Local);
    }
    fmt::print("{} flows: {} bytes an entry, {:.1f} bytes a flow\n", flows, sizeof(FlowEntry),
               static_cast<double>(table.bytes()) / static_cast<double>(flows));
    measure("look-up of a known flow", flows, [&table](std::uint64_t number) { return table.find(flowOf(number)) != nullptr; });
    measure("look-up of an unknown flow", flows,
            [&table, flows](std::uint64_t number) { return table.find(flowOf(number + flows)) != nullptr; });
}

void measureRouter(std::size_t flows, std::size_t hosts)
{
    const Time now{std::chrono::seconds{1}};
    FlowSettings settings;
    settings.flowLimit = flows;
    settings.settleTime = Duration{0};
    FlowRouter router(HostId{1}, settings, now);
    router.setView(viewOf(hosts), now);
    for (std::uint64_t number = 0; number < flows; ++number) {
        router.bind(flowOf(number), {1, 1}, now);
    }
    Outbox<FlowMessage> outbox;
    FlowDecisions decisions;
    const auto decide = [&](std::uint64_t number, FlowAction expected) {
        decisions.packets.clear();
        router.onPacket(flowOf(number), 0, now, outbox, decisions);
        return decisions.packets.front().action == expected;
    };
    measure(fmt::format("packet of a held flow, {} hosts", hosts), flows,
            [&](std::uint64_t number) { return decide(number, FlowAction::Forward); });
    measure(fmt::format("packet of another host's flow, {} hosts", hosts), flows,
            [&](std::uint64_t number) { return decide(number + flows, FlowAction::Relay); });
}

// The change of the membership while packets are sent.
enum class MembershipChange : std::uint8_t {
    Leave,
    Join,
    Crash,
};

constexpr std::uint64_t kFleetFlows = 400;

// Sends a packet of each flow per round, to random hosts.
void sendToRandomHosts(FlowFleet &fleet, int rounds)
{
    for (int round = 0; round < rounds; ++round) {
        for (std::uint64_t number = 0; number < kFleetFlows; ++number) {
            fleet.packet(flowOf(number));
        }
        fleet.advance(std::chrono::milliseconds{100});
    }
}

// Opens flows in a fleet of five hosts, optionally changes the upstreams, and lets one host leave, join or crash.
FlowRecord runFleet(MembershipChange change, bool upstreamsChange, std::uint64_t seed)
{
    FlowSettings settings;
    settings.flowLimit = 2 * kFleetFlows;
    FlowFleet fleet(6, settings, seed);
    for (std::uint32_t number = 0; number < 14; ++number) {
        fleet.upstreams()[9000].push_back({0x0a000000U + number, 9000});
    }
    for (std::size_t host = 0; host < 5; ++host) {
        fleet.join(host);
    }
    fleet.advance(std::chrono::seconds{3});
    sendToRandomHosts(fleet, 20);
    if (upstreamsChange) {
        fleet.upstreams()[9000].erase(fleet.upstreams()[9000].begin(), fleet.upstreams()[9000].begin() + 4);
        fleet.upstreams()[9000].push_back({0x0a000100U, 9000});
    }
    sendToRandomHosts(fleet, 5);
    change == MembershipChange::Leave ? fleet.leave(2) : (change == MembershipChange::Join ? fleet.join(5) : fleet.crash(2));
    sendToRandomHosts(fleet, 100);
    return fleet.record();
}

void measureMembershipChange(std::string_view name, MembershipChange change, bool upstreamsChange)
{
    std::size_t changed = 0;
    std::size_t sent = 0;
    std::size_t delivered = 0;
    std::uint8_t maxHops = 0;
    const auto seeds = absl::GetFlag(FLAGS_seeds);
    for (int index = 0; index < seeds; ++index) {
        const auto record = runFleet(change, upstreamsChange, absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(index));
        changed += record.changed;
        delivered += record.delivered;
        sent += kFleetFlows * 125;
        maxHops = std::max(maxHops, record.maxHops);
    }
    fmt::print("{:<8} upstreams {:<9}: {} of {} flows got another upstream, {:.3f}% of packets lost, at most {} hops\n", name,
               upstreamsChange ? "change" : "stay", changed, kFleetFlows * static_cast<std::uint64_t>(seeds),
               100.0 * static_cast<double>(sent - std::min(sent, delivered)) / static_cast<double>(sent), maxHops);
}

} // namespace

int main(int argc, char **argv)
{
    absl::ParseCommandLine(argc, argv);
    const auto flows = absl::GetFlag(FLAGS_flows);
    measureTable(flows);
    for (const std::size_t hosts : {5UL, 50UL, 890UL}) {
        measureRouter(flows, hosts);
    }
    for (const bool upstreamsChange : {false, true}) {
        measureMembershipChange("leave", MembershipChange::Leave, upstreamsChange);
        measureMembershipChange("join", MembershipChange::Join, upstreamsChange);
        measureMembershipChange("crash", MembershipChange::Crash, upstreamsChange);
    }
    return 0;
}
