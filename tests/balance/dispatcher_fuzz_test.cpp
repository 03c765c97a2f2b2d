#include "balance/dispatcher.h"

#include <algorithm>
#include <chrono>
#include <doctest/doctest.h>
#include <iostream>
#include <map>
#include <rapidcheck.h>
#include <rapidcheck/state.h>
#include <vector>

using namespace medlarway;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t kHosts = 3;
constexpr std::uint32_t kUpstreams = 3;
constexpr std::uint32_t kQueueLength = 6;
constexpr Duration kDelay = 2ms; ///< of every message between hosts
constexpr Duration kFarthest = 20s; ///< after which everything has ended

/// How a request stands, as the oracle sees it.
enum class Stage : std::uint8_t {
    Waiting,
    Running,
    Answered,
    Refused,
    Ended, ///< silently: cut, or its caller gone
};

struct Tracked {
    std::size_t host = 0;
    Stage stage = Stage::Waiting;
    Endpoint upstream;
    bool mayHaveRun = false; ///< an attempt ended Lost, Cut or Answered
};

/// What is in flight between two hosts.
struct Letter {
    Time due;
    HostId from;
    std::size_t to = 0;
    SlotMessage message;
};

Service serviceOf(ServiceClass serviceClass)
{
    Service service{.name = "fuzzed", .owner = "", .serviceClass = serviceClass, .address = {}, .upstreams = {}, .limits = {}};
    service.limits.queueLength = kQueueLength;
    for (std::uint32_t i = 0; i < kUpstreams; ++i) {
        service.upstreams.push_back({Endpoint{0x0a000001 + i, 80}, {i == 0 ? "west" : "east"}, false});
    }
    return service;
}

/// Three dispatchers, the messages between them, and an oracle that checks every decision.
class Fleet
{
public:
    explicit Fleet(ServiceClass serviceClass)
        : service_(serviceOf(serviceClass))
    {
        View view{1, {}};
        for (std::size_t i = 0; i < kHosts; ++i) {
            view.members.push_back({HostId{i + 1}, {i == 0 ? "west" : "east"}, HostState::Alive, 1});
        }
        for (std::size_t i = 0; i < kHosts; ++i) {
            hosts_.emplace_back(service_, HostId{i + 1}, view.members[i].zone, i);
            Decisions decisions;
            hosts_[i].setView(view, now_, decisions);
            apply(i, decisions);
        }
    }

    void arrive(std::size_t host, std::uint64_t caller, std::uint64_t path, Duration left)
    {
        const RequestId id = ++lastId_;
        requests_[id] = Tracked{.host = host, .upstream = {}};
        call(host, [&](Dispatcher &dispatcher, Decisions &decisions) {
            dispatcher.arrive({.id = id, .caller = caller, .path = path, .deadline = now_ + left}, now_, decisions);
        });
    }

    void finish(RequestId id, AttemptResult result, Duration retryAfter)
    {
        Tracked &request = requests_.at(id);
        const bool ends = result == AttemptResult::Answered || result == AttemptResult::Cut || result == AttemptResult::CallerGone;
        request.mayHaveRun |= result == AttemptResult::Lost || result == AttemptResult::Cut || result == AttemptResult::Answered;
        request.stage = ends ? (result == AttemptResult::Answered ? Stage::Answered : Stage::Ended) : Stage::Waiting;
        call(request.host,
             [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.finish(id, result, retryAfter, now_, decisions); });
    }

    void cancel(RequestId id)
    {
        requests_.at(id).stage = Stage::Ended;
        call(requests_.at(id).host, [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.cancel(id, now_, decisions); });
    }

    /// Moves time on in steps of a millisecond: messages arrive, hosts tick as they asked to.
    void pass(Duration span)
    {
        for (const Time end = now_ + span; now_ < end;) {
            now_ += 1ms;
            deliver();
            for (std::size_t i = 0; i < kHosts; ++i) {
                const std::optional<Time> next = hosts_[i].nextTick();
                if (next && *next <= now_) {
                    call(i, [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.tick(now_, decisions); });
                }
            }
        }
    }

    std::vector<RequestId> in(Stage stage) const
    {
        std::vector<RequestId> ids;
        for (const auto &[id, request] : requests_) {
            if (request.stage == stage) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// Ends all that runs and lets the rest run out of time.
    void settle()
    {
        for (Duration passed{0}; passed < kFarthest && !(in(Stage::Waiting).empty() && in(Stage::Running).empty()); passed += 50ms) {
            for (const RequestId id : in(Stage::Running)) {
                finish(id, AttemptResult::CallerGone, {});
            }
            pass(50ms);
        }
        RC_ASSERT(in(Stage::Waiting).empty());
        for (const Dispatcher &host : hosts_) {
            RC_ASSERT(host.openRequests() == 0U);
        }
    }

private:
    template<class Action>
    void call(std::size_t host, const Action &action)
    {
        Decisions decisions;
        action(hosts_[host], decisions);
        apply(host, decisions);
    }

    void deliver()
    {
        while (!letters_.empty() && letters_.front().due <= now_) {
            const Letter letter = letters_.front();
            letters_.erase(letters_.begin());
            call(letter.to,
                 [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.receive(letter.from, letter.message, now_, decisions); });
        }
    }

    void apply(std::size_t host, const Decisions &decisions)
    {
        for (const Start &start : decisions.starts) {
            checkStart(host, start);
        }
        for (const Refusal &refusal : decisions.refusals) {
            checkRefusal(host, refusal);
        }
        for (const Outgoing<SlotMessage> &outgoing : decisions.messages) {
            letters_.push_back({now_ + kDelay, HostId{host + 1}, static_cast<std::size_t>(outgoing.to.value - 1), outgoing.message});
        }
        checkBounds();
    }

    // Only what waits starts; protected work never again once it may have run.
    void checkStart(std::size_t host, const Start &start)
    {
        Tracked &request = requests_.at(start.request);
        RC_ASSERT(request.host == host);
        RC_ASSERT(request.stage == Stage::Waiting);
        RC_ASSERT(!request.mayHaveRun || service_.serviceClass == ServiceClass::Idempotent);
        request.stage = Stage::Running;
        request.upstream = start.upstream;
    }

    // A request ends once; "not run" is said only of what can't have run.
    void checkRefusal(std::size_t host, const Refusal &refusal)
    {
        Tracked &request = requests_.at(refusal.request);
        RC_ASSERT(request.host == host);
        RC_ASSERT(request.stage == Stage::Waiting);
        RC_ASSERT(!request.mayHaveRun || errorRow(refusal.kind).outcome == Outcome::Unknown);
        request.stage = Stage::Refused;
    }

    // Within one view no slot is used by two hosts, and queues are bounded.
    void checkBounds()
    {
        std::map<std::uint32_t, std::uint32_t> running;
        std::vector<std::size_t> open(hosts_.size());
        for (const auto &[id, request] : requests_) {
            if (request.stage == Stage::Running) {
                RC_ASSERT(++running[request.upstream.address] <= service_.limits.slotsPerUpstream);
            }
            open[request.host] += request.stage == Stage::Waiting ? 1 : 0;
        }
        for (std::size_t i = 0; i < hosts_.size(); ++i) {
            RC_ASSERT(open[i] <= kQueueLength + 1);
        }
    }

    Service service_;
    std::vector<Dispatcher> hosts_;
    std::map<RequestId, Tracked> requests_;
    std::vector<Letter> letters_;
    RequestId lastId_ = 0;
    Time now_{1h};
};

/// The commands' model is the fleet's own oracle, so the state that RapidCheck keeps is empty.
struct Nothing {
};

using Command = rc::state::Command<Nothing, Fleet>;

struct Arrive : Command {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
    std::uint64_t caller = *rc::gen::inRange<std::uint64_t>(0, 3);
    std::uint64_t path = *rc::gen::inRange<std::uint64_t>(0, 4);
    int left = *rc::gen::element(-1, 5, 80, 1000, 8000);

    void run(const Nothing & /*state*/, Fleet &fleet) const override
    {
        fleet.arrive(host, caller, path, std::chrono::milliseconds{left});
    }

    void show(std::ostream &os) const override
    {
        os << "Arrive(host " << host << ", caller " << caller << ", path " << path << ", " << left << " ms)";
    }
};

struct Finish : Command {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 8);
    AttemptResult result
        = *rc::gen::element(AttemptResult::Answered, AttemptResult::Answered, AttemptResult::Shed, AttemptResult::ConnectFailed,
                            AttemptResult::Lost, AttemptResult::Cut, AttemptResult::CallerGone);
    int retryAfter = *rc::gen::element(0, 0, 100);

    void run(const Nothing & /*state*/, Fleet &fleet) const override
    {
        const std::vector<RequestId> running = fleet.in(Stage::Running);
        if (!running.empty()) {
            fleet.finish(running[which % running.size()], result, std::chrono::milliseconds{retryAfter});
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Finish(" << which << ", result " << static_cast<int>(result) << ", after " << retryAfter << " ms)";
    }
};

struct Cancel : Command {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 8);

    void run(const Nothing & /*state*/, Fleet &fleet) const override
    {
        const std::vector<RequestId> waiting = fleet.in(Stage::Waiting);
        if (!waiting.empty()) {
            fleet.cancel(waiting[which % waiting.size()]);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Cancel(" << which << ")";
    }
};

struct Pass : Command {
    int span = *rc::gen::element(1, 3, 10, 60, 400);

    void run(const Nothing & /*state*/, Fleet &fleet) const override
    {
        fleet.pass(std::chrono::milliseconds{span});
    }

    void show(std::ostream &os) const override
    {
        os << "Pass(" << span << " ms)";
    }
};

bool holdsFor(ServiceClass serviceClass)
{
    rc::detail::TestParams params;
    params.seed = 20260301;
    params.maxSuccess = 1000;
    params.maxSize = 120;
    const auto property = [serviceClass] {
        Fleet fleet{serviceClass};
        rc::state::check(Nothing{}, fleet, rc::state::gen::execOneOfWithArgs<Arrive, Arrive, Finish, Finish, Cancel, Pass, Pass>());
        fleet.settle();
    };
    const rc::detail::TestResult result = rc::detail::checkTestable(property, rc::detail::TestMetadata{}, params);
    if (result.is<rc::detail::SuccessResult>()) {
        return true;
    }
    rc::detail::printResultMessage(result, std::cerr);
    return false;
}

} // namespace

TEST_CASE("three hosts that share slots, under any order of arrivals, outcomes and time")
{
    SUBCASE("keep every rule for idempotent work")
    {
        CHECK(holdsFor(ServiceClass::Idempotent));
    }
    SUBCASE("keep every rule for protected work")
    {
        CHECK(holdsFor(ServiceClass::Protected));
    }
}
