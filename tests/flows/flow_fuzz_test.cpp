#include "harness/flow_fleet.h"
#include "harness/seeded_check.h"

#include <doctest/doctest.h>
#include <ostream>

using namespace medlarway;

namespace
{

/// Kinds of test steps. Those up to ChangeUpstreams are planned changes, the others are faults.
enum class StepKind : std::uint8_t {
    Packets,
    Advance,
    Join,
    Leave,
    ChangeUpstreams,
    Crash,
    Cut,
    Heal,
    Loss,
    Count,
};

struct Step {
    StepKind kind;
    std::uint8_t host;
    std::uint8_t amount;
};

std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{" << int(step.kind) << ", " << int(step.host) << ", " << int(step.amount) << "}";
}

rc::Gen<std::vector<Step>> steps(StepKind last)
{
    const auto other = rc::gen::map(rc::gen::inRange(0, int(last) + 1), [](int value) { return static_cast<StepKind>(value); });
    const auto kind
        = rc::gen::weightedOneOf<StepKind>({{3, rc::gen::just(StepKind::Packets)}, {1, rc::gen::just(StepKind::Advance)}, {3, other}});
    const auto step
        = rc::gen::map(rc::gen::tuple(kind, rc::gen::arbitrary<std::uint8_t>(), rc::gen::arbitrary<std::uint8_t>()), [](const auto &parts) {
              return Step{std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)};
          });
    // Generate at full size from the first case on; at small sizes the later step kinds would not occur.
    return rc::gen::container<std::vector<Step>>(rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, step)));
}

constexpr std::uint64_t kFlows = 16;

FlowKey flowOf(std::uint64_t number)
{
    const auto service = static_cast<std::uint16_t>(9000 + number % 2);
    return {{0xc0000200U + static_cast<std::uint32_t>(number), 4000}, {0x7f000001, service}};
}

Endpoint upstreamOf(std::uint16_t service, std::uint32_t number)
{
    return {0x0a000000U + number, service};
}

void changeUpstreams(FlowFleet &fleet, const Step &step)
{
    auto &list = fleet.upstreams()[static_cast<std::uint16_t>(9000 + step.host % 2)];
    const auto upstream = upstreamOf(static_cast<std::uint16_t>(9000 + step.host % 2), step.amount % 6U);
    const auto found = std::find(list.begin(), list.end(), upstream);
    if (found == list.end()) {
        list.push_back(upstream);
    } else if (list.size() > 1) {
        list.erase(found);
    }
}

/// The first host, starting with the given one, that meets the condition; the given one if none does.
template<class Condition>
std::size_t nextWhere(const FlowFleet &fleet, std::size_t host, const Condition &condition)
{
    for (std::size_t step = 0; step < fleet.size(); ++step) {
        if (condition((host + step) % fleet.size())) {
            return (host + step) % fleet.size();
        }
    }
    return host;
}

void apply(FlowFleet &fleet, const Step &step)
{
    const auto host = step.host % fleet.size();
    switch (step.kind) {
    case StepKind::Packets:
        for (std::uint64_t count = 0; count < 40; ++count) {
            fleet.packet(flowOf(fleet.random().below(kFlows)));
            fleet.advance(std::chrono::milliseconds{step.amount % 4 * 5});
        }
        break;
    case StepKind::Advance:
        fleet.advance(std::chrono::milliseconds{step.amount * 4});
        break;
    case StepKind::Join:
        fleet.join(nextWhere(fleet, host, [&fleet](std::size_t other) { return !fleet.isUp(other); }));
        break;
    case StepKind::Leave:
        fleet.leave(nextWhere(fleet, host, [&fleet](std::size_t other) { return fleet.isUp(other) && !fleet.isLeaving(other); }));
        break;
    case StepKind::ChangeUpstreams:
        changeUpstreams(fleet, step);
        break;
    case StepKind::Crash:
        if (fleet.upCount() > 1) {
            fleet.crash(host);
        }
        break;
    case StepKind::Cut:
        fleet.messages().cut(FlowFleet::idOf(host), FlowFleet::idOf(step.amount % fleet.size()));
        fleet.datagrams().cut(FlowFleet::idOf(host), FlowFleet::idOf(step.amount % fleet.size()));
        break;
    case StepKind::Heal:
        fleet.messages().healAll();
        fleet.datagrams().healAll();
        break;
    case StepKind::Loss:
        fleet.messages().setConditions(
            {std::chrono::milliseconds{1}, std::chrono::milliseconds{1 + step.amount}, 0.1 * (step.host % 4), 0.2});
        break;
    case StepKind::Count:
        break;
    }
}

FlowFleet startedFleet(std::size_t hosts, std::uint64_t seed)
{
    FlowSettings settings;
    settings.flowLimit = 500;
    settings.settleTime = std::chrono::seconds{20};
    FlowFleet fleet(hosts, settings, seed);
    fleet.messages().setConditions({std::chrono::milliseconds{1}, std::chrono::milliseconds{20}, 0.0, 0.1});
    for (std::uint32_t number = 0; number < 3; ++number) {
        fleet.upstreams()[9000].push_back(upstreamOf(9000, number));
        fleet.upstreams()[9001].push_back(upstreamOf(9001, number));
    }
    for (std::size_t host = 0; host < (hosts + 1) / 2; ++host) {
        fleet.join(host);
    }
    fleet.advance(std::chrono::seconds{3});
    return fleet;
}

} // namespace

TEST_CASE("flows over three to nine hosts")
{
    SUBCASE("keep their upstream through any planned change, including upstreams being added and removed")
    {
        const bool passed = seededCheck("planned changes break no flow", 20261204, 300, 80, [] {
            const auto hosts = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(3, 10)));
            auto fleet = startedFleet(hosts, *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
            for (const auto &step : *steps(StepKind::ChangeUpstreams)) {
                apply(fleet, step);
            }
            RC_ASSERT(fleet.record().changed == 0U);
            RC_ASSERT(fleet.record().wrongService == 0U);
            RC_ASSERT(fleet.record().maxHops <= kMaxRelayHops);
        });
        CHECK(passed);
    }
    SUBCASE("keep their upstream through crashes, network partitions and lost messages if the upstreams stay the same")
    {
        const bool passed = seededCheck("faults change no upstream", 20261205, 300, 80, [] {
            const auto hosts = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(3, 10)));
            auto fleet = startedFleet(hosts, *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>())));
            for (const auto &step : *steps(StepKind::Loss)) {
                if (step.kind != StepKind::ChangeUpstreams) {
                    apply(fleet, step);
                }
            }
            RC_ASSERT(fleet.record().changed == 0U);
            RC_ASSERT(fleet.record().wrongService == 0U);
            RC_ASSERT(fleet.record().maxHops <= kMaxRelayHops);
            // Once the faults have ended and the views have converged, every packet is delivered again.
            fleet.messages().healAll();
            fleet.datagrams().healAll();
            fleet.messages().setConditions({});
            fleet.advance(std::chrono::seconds{30});
            const auto before = fleet.record().delivered;
            for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
                fleet.packet(flowOf(flow));
                fleet.advance(std::chrono::milliseconds{5});
            }
            fleet.advance(std::chrono::seconds{1});
            RC_ASSERT(fleet.record().delivered == before + kFlows);
        });
        CHECK(passed);
    }
}
