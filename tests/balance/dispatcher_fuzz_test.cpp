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
constexpr Duration kMessageDelay = 2ms; ///< one-way delay of every message between hosts
constexpr Duration kSettleLimit = 20s; ///< all requests must have ended after this time

/// The state of a request in the test oracle.
enum class Stage : std::uint8_t {
    Waiting,
    Running,
    Answered,
    Refused,
    Ended, ///< ended without a decision: response truncated or caller disconnected
};

struct TrackedRequest {
    std::size_t host = 0;
    Stage stage = Stage::Waiting;
    Endpoint upstream;
    bool mayHaveRun = false; ///< an attempt ended as Lost, Truncated or Completed
};

/// A message in flight between two hosts.
struct InFlightMessage {
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

/// Runs three dispatchers, delivers the messages between them and checks every decision against an oracle.
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

    void submit(std::size_t host, std::uint64_t caller, std::uint64_t path, Duration timeLeft)
    {
        const RequestId id = ++lastId_;
        requests_[id] = TrackedRequest{.host = host, .upstream = {}};
        call(host, [&](Dispatcher &dispatcher, Decisions &decisions) {
            dispatcher.submit({.id = id, .caller = caller, .path = path, .deadline = now_ + timeLeft}, now_, decisions);
        });
    }

    void finish(RequestId id, AttemptResult result, Duration retryAfter)
    {
        TrackedRequest &request = requests_.at(id);
        const bool ends
            = result == AttemptResult::Completed || result == AttemptResult::Truncated || result == AttemptResult::CallerDisconnected;
        request.mayHaveRun |= result == AttemptResult::Lost || result == AttemptResult::Truncated || result == AttemptResult::Completed;
        request.stage = ends ? (result == AttemptResult::Completed ? Stage::Answered : Stage::Ended) : Stage::Waiting;
        call(request.host,
             [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.finish(id, result, retryAfter, now_, decisions); });
    }

    void cancel(RequestId id)
    {
        requests_.at(id).stage = Stage::Ended;
        call(requests_.at(id).host, [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.cancel(id, now_, decisions); });
    }

    /// Advances the time in steps of a millisecond, delivering messages and calling tick when it is due.
    void advance(Duration span)
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

    std::vector<RequestId> requestsIn(Stage stage) const
    {
        std::vector<RequestId> ids;
        for (const auto &[id, request] : requests_) {
            if (request.stage == stage) {
                ids.push_back(id);
            }
        }
        return ids;
    }

    /// Ends all running requests and lets the waiting ones expire.
    void settle()
    {
        for (Duration passed{0}; passed < kSettleLimit && !(requestsIn(Stage::Waiting).empty() && requestsIn(Stage::Running).empty());
             passed += 50ms) {
            for (const RequestId id : requestsIn(Stage::Running)) {
                finish(id, AttemptResult::CallerDisconnected, {});
            }
            advance(50ms);
        }
        RC_ASSERT(requestsIn(Stage::Waiting).empty());
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
        while (!inFlight_.empty() && inFlight_.front().due <= now_) {
            const InFlightMessage next = inFlight_.front();
            inFlight_.erase(inFlight_.begin());
            call(next.to,
                 [&](Dispatcher &dispatcher, Decisions &decisions) { dispatcher.receive(next.from, next.message, now_, decisions); });
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
            inFlight_.push_back(
                {now_ + kMessageDelay, HostId{host + 1}, static_cast<std::size_t>(outgoing.to.value - 1), outgoing.message});
        }
        checkBounds();
    }

    // Only waiting requests start, and requests of a protected service never start again once they may have run.
    void checkStart(std::size_t host, const Start &start)
    {
        TrackedRequest &request = requests_.at(start.request);
        RC_ASSERT(request.host == host);
        RC_ASSERT(request.stage == Stage::Waiting);
        RC_ASSERT(!request.mayHaveRun || service_.serviceClass == ServiceClass::Idempotent);
        request.stage = Stage::Running;
        request.upstream = start.upstream;
    }

    // Only waiting requests are refused, and a request that may have run is never reported as not run.
    void checkRefusal(std::size_t host, const Refusal &refusal)
    {
        TrackedRequest &request = requests_.at(refusal.request);
        RC_ASSERT(request.host == host);
        RC_ASSERT(request.stage == Stage::Waiting);
        RC_ASSERT(!request.mayHaveRun || errorRow(refusal.kind).outcome == Outcome::Unknown);
        request.stage = Stage::Refused;
    }

    // While all hosts have the same view, no upstream runs more requests than it has slots; queues are bounded.
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
    std::map<RequestId, TrackedRequest> requests_;
    std::vector<InFlightMessage> inFlight_;
    RequestId lastId_ = 0;
    Time now_{1h};
};

/// The fleet contains the oracle, so the model state required by RapidCheck is empty.
struct EmptyModel {
};

using Command = rc::state::Command<EmptyModel, Fleet>;

struct Arrive : Command {
    std::size_t host = *rc::gen::inRange<std::size_t>(0, kHosts);
    std::uint64_t caller = *rc::gen::inRange<std::uint64_t>(0, 3);
    std::uint64_t path = *rc::gen::inRange<std::uint64_t>(0, 4);
    int timeLeft = *rc::gen::element(-1, 5, 80, 1000, 8000);

    void run(const EmptyModel & /*state*/, Fleet &fleet) const override
    {
        fleet.submit(host, caller, path, std::chrono::milliseconds{timeLeft});
    }

    void show(std::ostream &os) const override
    {
        os << "Arrive(host " << host << ", caller " << caller << ", path " << path << ", " << timeLeft << " ms)";
    }
};

struct Finish : Command {
    std::size_t which = *rc::gen::inRange<std::size_t>(0, 8);
    AttemptResult result
        = *rc::gen::element(AttemptResult::Completed, AttemptResult::Completed, AttemptResult::Shed, AttemptResult::ConnectFailed,
                            AttemptResult::Lost, AttemptResult::Truncated, AttemptResult::CallerDisconnected);
    int retryAfter = *rc::gen::element(0, 0, 100);

    void run(const EmptyModel & /*state*/, Fleet &fleet) const override
    {
        const std::vector<RequestId> running = fleet.requestsIn(Stage::Running);
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

    void run(const EmptyModel & /*state*/, Fleet &fleet) const override
    {
        const std::vector<RequestId> waiting = fleet.requestsIn(Stage::Waiting);
        if (!waiting.empty()) {
            fleet.cancel(waiting[which % waiting.size()]);
        }
    }

    void show(std::ostream &os) const override
    {
        os << "Cancel(" << which << ")";
    }
};

struct Advance : Command {
    int span = *rc::gen::element(1, 3, 10, 60, 400);

    void run(const EmptyModel & /*state*/, Fleet &fleet) const override
    {
        fleet.advance(std::chrono::milliseconds{span});
    }

    void show(std::ostream &os) const override
    {
        os << "Pass(" << span << " ms)";
    }
};

bool propertyHolds(ServiceClass serviceClass)
{
    rc::detail::TestParams params;
    params.seed = 20260301;
    params.maxSuccess = 1000;
    params.maxSize = 120;
    const auto property = [serviceClass] {
        Fleet fleet{serviceClass};
        rc::state::check(EmptyModel{}, fleet,
                         rc::state::gen::execOneOfWithArgs<Arrive, Arrive, Finish, Finish, Cancel, Advance, Advance>());
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

TEST_CASE("three hosts that share slots, under any sequence of arrivals, results and delays")
{
    SUBCASE("keep all invariants for an idempotent service")
    {
        CHECK(propertyHolds(ServiceClass::Idempotent));
    }
    SUBCASE("keep all invariants for a protected service")
    {
        CHECK(propertyHolds(ServiceClass::Protected));
    }
}
