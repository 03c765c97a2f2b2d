#pragma once

#include "harness/guard_fleet.h"
#include "harness/seeded_check.h"

#include <ostream>

namespace medlarway
{

/// The window of every key.
inline constexpr Duration kFuzzWindow = std::chrono::seconds{20};

/// The kinds of steps in a random run.
enum class StepKind : std::uint8_t {
    Request,
    RequestTwice,
    Advance,
    Wait,
    Crash,
    Restart,
    Pause,
    Wake,
    Partition,
    PartitionOneWay,
    Heal,
    Loss,
    ChangeList,
    LearnList,
    Count,
};

/// One step of a run. Each kind reduces host and amount to its own range.
struct Step {
    StepKind kind;
    std::uint8_t host;
    std::uint8_t amount;
};

inline std::ostream &operator<<(std::ostream &stream, const Step &step)
{
    return stream << "{" << int(step.kind) << ", " << int(step.host) << ", " << int(step.amount) << "}";
}

/// Generates a step. Run it at full size from the first case on: smaller sizes would leave out the later kinds.
/// With concurrent list changes, about a third of the steps change lists, restart hosts or partition them.
inline rc::Gen<Step> genStep(ListChanges changes)
{
    using rc::gen::arbitrary;
    const auto kind = rc::gen::weightedOneOf<StepKind>(
        {{4, rc::gen::element(StepKind::Request, StepKind::RequestTwice)},
         {3, rc::gen::just(StepKind::Advance)},
         {2, rc::gen::element(StepKind::Restart, StepKind::Wake, StepKind::Heal, StepKind::Wait)},
         {changes == ListChanges::Concurrent ? 4U : 0U,
          rc::gen::element(StepKind::ChangeList, StepKind::ChangeList, StepKind::LearnList, StepKind::Crash, StepKind::Restart,
                           StepKind::Partition, StepKind::Heal)},
         {3, rc::gen::map(rc::gen::inRange(0, int(StepKind::Count)), [](int value) { return static_cast<StepKind>(value); })}});
    return rc::gen::map(rc::gen::tuple(kind, arbitrary<std::uint8_t>(), arbitrary<std::uint8_t>()), [](const auto &parts) {
        return Step{std::get<0>(parts), std::get<1>(parts), std::get<2>(parts)};
    });
}

/// Applies one step to the fleet.
inline void apply(GuardFleet &fleet, const Step &step)
{
    const auto host = step.host % fleet.size();
    const GuardKey key{1, 1, step.amount % 5U};
    switch (step.kind) {
    case StepKind::Request:
        fleet.request(host, key);
        break;
    case StepKind::RequestTwice:
        fleet.request(host, key);
        fleet.request((host + 1) % fleet.size(), key);
        break;
    case StepKind::Advance:
        fleet.advance(std::chrono::milliseconds{step.amount * step.amount / 64});
        break;
    case StepKind::Wait:
        fleet.advance(std::chrono::milliseconds{step.amount * 100});
        break;
    case StepKind::Crash:
        fleet.crash(host);
        break;
    case StepKind::Restart:
        fleet.restart(host);
        break;
    case StepKind::Pause:
        fleet.pause(host);
        break;
    case StepKind::Wake:
        fleet.wake(host);
        break;
    case StepKind::Partition:
        fleet.partition(step.amount, false);
        break;
    case StepKind::PartitionOneWay:
        fleet.partition(step.amount, true);
        break;
    case StepKind::Heal:
        fleet.network().healAll();
        break;
    case StepKind::Loss:
        fleet.network().setConditions(
            {std::chrono::milliseconds{1}, std::chrono::milliseconds{1 + step.amount * 8}, (step.host % 4) * 0.1, (step.host % 3) * 0.2});
        break;
    case StepKind::ChangeList:
        fleet.changeList(host);
        break;
    case StepKind::LearnList:
        fleet.learnList(host);
        break;
    case StepKind::Count:
        break;
    }
}

inline GuardSettings fuzzSettings()
{
    GuardSettings settings;
    settings.lease = std::chrono::seconds{1};
    settings.maxWindow = kFuzzWindow;
    settings.startupAbstention = kFuzzWindow;
    return settings;
}

/// Checks one run of three to nine hosts under random steps: no key runs twice within its window.
inline void checkGuardRun(ListChanges changes)
{
    const auto hosts = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(3, 10)));
    const auto seed = *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint32_t>()));
    const auto steps = *rc::gen::container<std::vector<Step>>(rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, genStep(changes))));
    GuardFleet fleet(hosts, fuzzSettings(), kFuzzWindow, seed);
    fleet.setListChanges(changes);
    fleet.advance(kFuzzWindow + std::chrono::seconds{3});
    for (const auto &step : steps) {
        apply(fleet, step);
    }
    RC_LOG(fleet.findDoubleRun());
    RC_ASSERT(fleet.findDoubleRun().empty());
    RC_ASSERT(fleet.findContradiction().empty());
    fleet.advance(std::chrono::seconds{10});
    RC_ASSERT(fleet.findDoubleRun().empty());
}

} // namespace medlarway
