// Runs the membership and catalogue cores of three to nine hosts under random faults: crashes, restarts, pauses, partitions,
// lost, repeated and delayed messages, stale platform reads and changes of the host list. The length and seed of the run are
// fixed; RC_PARAMS="max_success=2000 seed=7" in the environment overrides them.
#include "membership/fuzz_fleet.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <rapidcheck.h>
#include <rapidcheck/state.h>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

enum class Action : std::uint8_t {
    Run,
    Crash,
    RestartEmpty,
    Pause,
    Wake,
    Leave,
    CutZone,
    CutOneWay,
    Heal,
    Loss,
    Publish,
    Stale,
    Fresh,
    Delist,
    List,
    Count,
};

constexpr const char *kActionNames[] = {"run",  "crash", "restart", "pause", "wake",  "leave",  "cut-zone", "cut-one-way",
                                        "heal", "loss",  "publish", "stale", "fresh", "delist", "list"};

// The fleet itself records what was published and checks the hosts against it, so the model holds the size only.
struct Model {
    int hosts = 0;
};

class FaultCommand : public rc::state::Command<Model, FuzzFleet>
{
public:
    explicit FaultCommand(const Model &model)
        : action_(static_cast<Action>(*rc::gen::inRange(0, static_cast<int>(Action::Count))))
        , host_(*rc::gen::inRange(0, model.hosts))
        , other_(*rc::gen::inRange(0, model.hosts))
        , amount_(*rc::gen::inRange(1, 100))
    {
    }

    void run(const Model & /*model*/, FuzzFleet &fleet) const override
    {
        act(fleet);
        fleet.run(action_ == Action::Run ? Duration{amount_ * 100ms} : Duration{amount_ * 10ms});
        if (!fleet.violation().empty()) {
            RC_FAIL(fleet.violation());
        }
    }

    void show(std::ostream &stream) const override
    {
        stream << fmt::format("{} host={} other={} amount={}", kActionNames[static_cast<std::size_t>(action_)], host_, other_, amount_);
    }

private:
    void act(FuzzFleet &fleet) const
    {
        switch (action_) {
        case Action::Crash:
            return fleet.crash(host_);
        case Action::RestartEmpty:
            return fleet.start(host_);
        case Action::Pause:
            return fleet.pause(host_);
        case Action::Wake:
            return fleet.wake(host_);
        case Action::Leave:
            return fleet.leave(host_);
        case Action::CutZone:
            return fleet.cutZone(host_ % 3);
        case Action::CutOneWay:
            return fleet.cutOneWay(host_, other_);
        case Action::Heal:
            return fleet.healAll();
        case Action::Loss:
            return fleet.setConditions(amount_ / 250.0, amount_ / 300.0, Duration{amount_ * 3ms});
        case Action::Publish:
            return fleet.publish();
        case Action::Stale:
            return fleet.setStale(true);
        case Action::Fresh:
            return fleet.setStale(false);
        case Action::Delist:
            return fleet.setListed(host_, false);
        case Action::List:
            return fleet.setListed(host_, true);
        case Action::Run:
        case Action::Count:
            return;
        }
    }

    Action action_;
    int host_;
    int other_;
    int amount_;
};

} // namespace

TEST_CASE("hosts under random faults never apply an older catalogue, and converge after the faults end")
{
    setenv("RC_PARAMS", "seed=20261204 max_success=600 max_size=80", 0);
    const bool passed = rc::check("fleet of membership and catalogue cores", [] {
        const auto hosts = *rc::gen::inRange(3, 10);
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        FuzzFleet fleet(hosts, seed);
        rc::state::check(Model{hosts}, fleet, [](const Model &model) {
            return rc::gen::exec(
                [model] { return std::shared_ptr<const rc::state::Command<Model, FuzzFleet>>(std::make_shared<FaultCommand>(model)); });
        });
        fleet.checkConvergence();
        if (!fleet.violation().empty()) {
            RC_FAIL(fleet.violation());
        }
    });
    CHECK(passed);
}
