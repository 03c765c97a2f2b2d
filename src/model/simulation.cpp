#include "model/simulation.h"

#include <algorithm>
#include <chrono>

namespace medlarway::model
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 200ms;
constexpr Duration kFabricFailoverDelay = 500ms; ///< from a host's failure until the fabric routes around it

} // namespace

Simulation::Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
    : scenario_(scenario)
    , policy_(policy)
    , random_(seed ^ 0x5eed)
    , upstreams_(scenario.service.upstreams.size(), FakeUpstream{scenario.service.limits.slotsPerUpstream})
    , hosts_(scenario.hosts.size())
    , draining_(upstreams_.size())
    , drainedAt_(upstreams_.size())
    , reportsWrong_(upstreams_.size())
    , zoneCut_(scenario.zones.size())
    , omniscient_(scenario, upstreams_)
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        hosts_[i].dispatcher
            = std::make_unique<Dispatcher>(scenario.service, scenario.hosts[i].id, scenario.hosts[i].zone, seed * 1000 + i, policy.options);
    }
    for (FakeUpstream &upstream : upstreams_) {
        upstream.setWindow(Time{} + scenario.warmUp, Time{} + scenario.end);
    }
    for (const Arrival &arrival : generateArrivals(scenario, seed)) {
        records_.push_back(RequestRecord{.arrival = arrival, .error = {}});
    }
    attempts_.resize(records_.size());
}

Simulation::~Simulation() = default;

void Simulation::run()
{
    publishViews();
    scheduleFaults();
    clock_.after(1s, [this] { pollReports(); });
    for (std::size_t i = 0; i < records_.size(); ++i) {
        clock_.at(records_[i].arrival.at, [this, i] { arrive(i); });
        clock_.at(records_[i].arrival.deadline, [this, i] { expire(i); });
    }
    clock_.runUntil(Time{} + scenario_.end + scenario_.workload.longDeadline + 1s);
}

void Simulation::arrive(std::size_t index)
{
    Arrival &arrival = records_[index].arrival;
    const Host &preferred = hosts_[arrival.host];
    if (!preferred.alive && clock_.now() - preferred.failedAt < kFabricFailoverDelay) {
        recordResult(index, RequestResult::HostLost, std::nullopt);
        return;
    }
    arrival.host = liveHost(arrival.host);
    const Request request{.id = index, .caller = arrival.caller, .path = arrival.path, .deadline = arrival.deadline};
    if (policy_.omniscient) {
        omniscient_.arrive(request, arrival.serviceTime, arrival.isLong, scenario_.hosts[arrival.host].zone);
        runOmniscient();
        return;
    }
    Decisions decisions;
    hosts_[arrival.host].dispatcher->submit(request, clock_.now(), decisions);
    apply(arrival.host, decisions);
}

// The caller disconnects at the deadline, which cancels the request whether it is waiting or running.
void Simulation::expire(std::size_t index)
{
    if (records_[index].result != RequestResult::Pending) {
        return;
    }
    const std::size_t host = records_[index].arrival.host;
    const Attempt attempt = attempts_[index];
    if (attempt.id == 0) {
        recordResult(index, RequestResult::TimedOut, std::nullopt);
        omniscient_.cancel(index);
        Decisions decisions;
        hosts_[host].dispatcher->cancel(index, clock_.now(), decisions);
        apply(host, decisions);
        return;
    }
    finishAttempt(index, attempt.id, AttemptResult::CallerDisconnected, {});
    clock_.after(delayTo(host, attempt.upstream), [this, attempt] { upstreams_[attempt.upstream].finish(attempt.id, clock_.now()); });
}

void Simulation::start(const Start &start, std::size_t host)
{
    const std::size_t index = start.request;
    const std::size_t upstream = upstreamIndex(start.upstream);
    totals_.startsOnDrained += draining_[upstream] && clock_.now() - drainedAt_[upstream] > 2s ? 1 : 0;
    ++totals_.starts;
    ++records_[index].starts;
    const std::uint64_t attempt = ++lastAttempt_;
    attempts_[index] = Attempt{attempt, upstream, false};
    if (!reachable(scenario_.hosts[host].zone, scenario_.service.upstreams[upstream].zone)) {
        clock_.after(kConnectTimeout, [this, index, attempt] { finishAttempt(index, attempt, AttemptResult::ConnectFailed, {}); });
        return;
    }
    clock_.after(delayTo(host, upstream), [this, index, attempt] { deliverToUpstream(index, attempt); });
}

void Simulation::deliverToUpstream(std::size_t index, std::uint64_t attempt)
{
    if (attempts_[index].id != attempt) {
        return;
    }
    const std::size_t target = attempts_[index].upstream;
    FakeUpstream &upstream = upstreams_[target];
    const Duration back = delayTo(records_[index].arrival.host, target);
    const auto respond = [this, index, attempt, back](AttemptResult result, Duration retryAfter) {
        clock_.after(back, [this, index, attempt, result, retryAfter] { finishAttempt(index, attempt, result, retryAfter); });
    };
    if (upstream.down) {
        respond(AttemptResult::ConnectFailed, {});
        return;
    }
    if (upstream.shedding) {
        respond(AttemptResult::Shed, 1s);
        return;
    }
    if (upstream.full()) {
        ++totals_.shedFull;
        respond(AttemptResult::Shed, {});
        return;
    }
    attempts_[index].atUpstream = true;
    ++records_[index].runs;
    const Duration time = upstream.start(attempt, records_[index].arrival.serviceTime, clock_.now());
    clock_.after(time, [this, index, attempt] { completeAtUpstream(index, attempt); });
}

void Simulation::completeAtUpstream(std::size_t index, std::uint64_t attempt)
{
    const std::size_t target = attempts_[index].upstream;
    if (attempts_[index].id != attempt || !upstreams_[target].finish(attempt, clock_.now())) {
        return;
    }
    if (policy_.omniscient) {
        omniscient_.release(index);
        runOmniscient();
    }
    clock_.after(delayTo(records_[index].arrival.host, target),
                 [this, index, attempt] { finishAttempt(index, attempt, AttemptResult::Completed, {}); });
}

void Simulation::finishAttempt(std::size_t index, std::uint64_t attempt, AttemptResult result, Duration retryAfter)
{
    if (attempts_[index].id != attempt) {
        return;
    }
    attempts_[index] = Attempt{};
    const RequestRecord &record = records_[index];
    const std::size_t host = record.arrival.host;
    if (result == AttemptResult::Completed || result == AttemptResult::CallerDisconnected) {
        recordResult(index, result == AttemptResult::Completed ? RequestResult::Completed : RequestResult::TimedOut, std::nullopt);
    }
    if (policy_.omniscient) {
        omniscient_.release(index);
        if (record.result == RequestResult::Pending) {
            const Request request{index, record.arrival.caller, record.arrival.path, record.arrival.deadline};
            omniscient_.arrive(request, record.arrival.serviceTime, record.arrival.isLong, scenario_.hosts[host].zone);
        }
        runOmniscient();
        return;
    }
    Decisions decisions;
    hosts_[host].dispatcher->finish(index, result, retryAfter, clock_.now(), decisions);
    apply(host, decisions);
}

void Simulation::recordResult(std::size_t index, RequestResult result, std::optional<ErrorKind> error)
{
    RequestRecord &record = records_[index];
    record.result = result;
    record.endedAt = clock_.now();
    record.error = error;
}

void Simulation::apply(std::size_t host, Decisions &decisions)
{
    for (const Start &begin : decisions.starts) {
        start(begin, host);
    }
    for (const Refusal &refusal : decisions.refusals) {
        const bool unknown = errorRow(refusal.kind).outcome == Outcome::Unknown;
        recordResult(refusal.request, unknown ? RequestResult::Unknown : RequestResult::Refused, refusal.kind);
    }
    for (const Outgoing<SlotMessage> &outgoing : decisions.messages) {
        send(host, outgoing);
    }
    scheduleTick(host);
}

void Simulation::send(std::size_t from, const Outgoing<SlotMessage> &outgoing)
{
    ++totals_.messages;
    const std::size_t to = hostIndex(outgoing.to);
    if (to >= hosts_.size() || !reachable(scenario_.hosts[from].zone, scenario_.hosts[to].zone)) {
        return;
    }
    const HostId sender = scenario_.hosts[from].id;
    const Duration delay = oneWayDelay(scenario_, scenario_.hosts[from].zone, scenario_.hosts[to].zone);
    clock_.after(delay, [this, to, sender, message = outgoing.message] {
        if (!hosts_[to].alive) {
            return;
        }
        Decisions decisions;
        hosts_[to].dispatcher->receive(sender, message, clock_.now(), decisions);
        apply(to, decisions);
    });
}

void Simulation::scheduleTick(std::size_t host)
{
    Host &entry = hosts_[host];
    const std::optional<Time> next = entry.dispatcher->nextTick();
    if (!next || (entry.tickAt && *entry.tickAt <= *next)) {
        return;
    }
    const Time at = std::max(*next, clock_.now() + Duration{1});
    entry.tickAt = at;
    clock_.at(at, [this, host, at] {
        Host &ticked = hosts_[host];
        if (ticked.tickAt != at || !ticked.alive) {
            return;
        }
        ticked.tickAt.reset();
        Decisions decisions;
        ticked.dispatcher->tick(clock_.now(), decisions);
        apply(host, decisions);
    });
}

void Simulation::runOmniscient()
{
    Decisions decisions;
    omniscient_.schedule(clock_.now(), draining_, decisions);
    for (const Start &begin : decisions.starts) {
        start(begin, records_[begin.request].arrival.host);
    }
    for (const Refusal &refusal : decisions.refusals) {
        recordResult(refusal.request, RequestResult::Refused, refusal.kind);
    }
}

bool Simulation::reachable(const AvailabilityZone &from, const AvailabilityZone &to) const
{
    if (from == to) {
        return true;
    }
    for (std::size_t i = 0; i < zoneCut_.size(); ++i) {
        if (zoneCut_[i] && (scenario_.zones[i] == from || scenario_.zones[i] == to)) {
            return false;
        }
    }
    return true;
}

std::size_t Simulation::upstreamIndex(const Endpoint &endpoint) const
{
    return endpoint.address - scenario_.service.upstreams.front().address.address;
}

std::size_t Simulation::hostIndex(HostId host) const
{
    const auto found
        = std::find_if(scenario_.hosts.begin(), scenario_.hosts.end(), [host](const Member &member) { return member.id == host; });
    return static_cast<std::size_t>(found - scenario_.hosts.begin());
}

std::size_t Simulation::liveHost(std::size_t preferred) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const std::size_t host = (preferred + i) % hosts_.size();
        if (hosts_[host].alive) {
            return host;
        }
    }
    return preferred;
}

Duration Simulation::delayTo(std::size_t host, std::size_t upstream) const
{
    return oneWayDelay(scenario_, scenario_.hosts[host].zone, scenario_.service.upstreams[upstream].zone);
}

} // namespace medlarway::model
