#include "model/fleet.h"

#include <algorithm>
#include <chrono>

namespace medlarway::model
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kConnectTimeout = 200ms;
constexpr Duration kFabricLag = 500ms; ///< until the fabric leaves a dead host out

} // namespace

Fleet::Fleet(const Scenario &scenario, const Policy &policy, std::uint64_t seed)
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
    for (const Arrival &arrival : drawArrivals(scenario, seed)) {
        records_.push_back(Record{.arrival = arrival, .error = {}});
    }
    attempts_.resize(records_.size());
}

Fleet::~Fleet() = default;

void Fleet::run()
{
    publishViews();
    scheduleFaults();
    clock_.after(1s, [this] { pollReports(); });
    for (std::size_t i = 0; i < records_.size(); ++i) {
        clock_.at(records_[i].arrival.at, [this, i] { arrive(i); });
        clock_.at(records_[i].arrival.deadline, [this, i] { deadline(i); });
    }
    clock_.runUntil(Time{} + scenario_.end + scenario_.work.longDeadline + 1s);
}

void Fleet::arrive(std::size_t index)
{
    Arrival &arrival = records_[index].arrival;
    const Host &wanted = hosts_[arrival.host];
    if (!wanted.alive && clock_.now() - wanted.diedAt < kFabricLag) {
        end(index, End::HostLost, std::nullopt);
        return;
    }
    arrival.host = liveHost(arrival.host);
    const Request request{.id = index, .caller = arrival.caller, .path = arrival.path, .deadline = arrival.deadline};
    if (policy_.omniscient) {
        omniscient_.arrive(request, arrival.work, arrival.isLong, scenario_.hosts[arrival.host].zone);
        pumpOmniscient();
        return;
    }
    Decisions decisions;
    hosts_[arrival.host].dispatcher->submit(request, clock_.now(), decisions);
    apply(arrival.host, decisions);
}

// The caller goes away at its deadline: what waits is cancelled, what runs too.
void Fleet::deadline(std::size_t index)
{
    if (records_[index].end != End::Open) {
        return;
    }
    const std::size_t host = records_[index].arrival.host;
    const Attempt attempt = attempts_[index];
    if (attempt.id == 0) {
        end(index, End::Late, std::nullopt);
        omniscient_.cancel(index);
        Decisions decisions;
        hosts_[host].dispatcher->cancel(index, clock_.now(), decisions);
        apply(host, decisions);
        return;
    }
    finish(index, attempt.id, AttemptResult::CallerDisconnected, {});
    clock_.after(distanceTo(host, attempt.upstream), [this, attempt] { upstreams_[attempt.upstream].end(attempt.id, clock_.now()); });
}

void Fleet::start(const Start &start, std::size_t host)
{
    const std::size_t index = start.request;
    const std::size_t upstream = upstreamIndex(start.upstream);
    totals_.startsAtDrained += draining_[upstream] && clock_.now() - drainedAt_[upstream] > 2s ? 1 : 0;
    ++totals_.starts;
    ++records_[index].starts;
    const std::uint64_t attempt = ++lastAttempt_;
    attempts_[index] = Attempt{attempt, upstream, false};
    if (!reachable(scenario_.hosts[host].zone, scenario_.service.upstreams[upstream].zone)) {
        clock_.after(kConnectTimeout, [this, index, attempt] { finish(index, attempt, AttemptResult::ConnectFailed, {}); });
        return;
    }
    clock_.after(distanceTo(host, upstream), [this, index, attempt] { deliver(index, attempt); });
}

void Fleet::deliver(std::size_t index, std::uint64_t attempt)
{
    if (attempts_[index].id != attempt) {
        return;
    }
    const std::size_t place = attempts_[index].upstream;
    FakeUpstream &upstream = upstreams_[place];
    const Duration back = distanceTo(records_[index].arrival.host, place);
    const auto answer = [this, index, attempt, back](AttemptResult result, Duration retryAfter) {
        clock_.after(back, [this, index, attempt, result, retryAfter] { finish(index, attempt, result, retryAfter); });
    };
    if (upstream.down) {
        answer(AttemptResult::ConnectFailed, {});
        return;
    }
    if (upstream.shedding) {
        answer(AttemptResult::Shed, 1s);
        return;
    }
    if (upstream.full()) {
        ++totals_.shedFull;
        answer(AttemptResult::Shed, {});
        return;
    }
    attempts_[index].atUpstream = true;
    ++records_[index].runs;
    const Duration time = upstream.start(attempt, records_[index].arrival.work, clock_.now());
    clock_.after(time, [this, index, attempt] { complete(index, attempt); });
}

void Fleet::complete(std::size_t index, std::uint64_t attempt)
{
    const std::size_t place = attempts_[index].upstream;
    if (attempts_[index].id != attempt || !upstreams_[place].end(attempt, clock_.now())) {
        return;
    }
    if (policy_.omniscient) {
        omniscient_.release(index);
        pumpOmniscient();
    }
    clock_.after(distanceTo(records_[index].arrival.host, place),
                 [this, index, attempt] { finish(index, attempt, AttemptResult::Completed, {}); });
}

void Fleet::finish(std::size_t index, std::uint64_t attempt, AttemptResult result, Duration retryAfter)
{
    if (attempts_[index].id != attempt) {
        return;
    }
    attempts_[index] = Attempt{};
    const Record &record = records_[index];
    const std::size_t host = record.arrival.host;
    if (result == AttemptResult::Completed || result == AttemptResult::CallerDisconnected) {
        end(index, result == AttemptResult::Completed ? End::Answered : End::Late, std::nullopt);
    }
    if (policy_.omniscient) {
        omniscient_.release(index);
        if (record.end == End::Open) {
            const Request request{index, record.arrival.caller, record.arrival.path, record.arrival.deadline};
            omniscient_.arrive(request, record.arrival.work, record.arrival.isLong, scenario_.hosts[host].zone);
        }
        pumpOmniscient();
        return;
    }
    Decisions decisions;
    hosts_[host].dispatcher->finish(index, result, retryAfter, clock_.now(), decisions);
    apply(host, decisions);
}

void Fleet::end(std::size_t index, End how, std::optional<ErrorKind> error)
{
    Record &record = records_[index];
    record.end = how;
    record.endedAt = clock_.now();
    record.error = error;
}

void Fleet::apply(std::size_t host, Decisions &decisions)
{
    for (const Start &begin : decisions.starts) {
        start(begin, host);
    }
    for (const Refusal &refusal : decisions.refusals) {
        const bool unknown = errorRow(refusal.kind).outcome == Outcome::Unknown;
        end(refusal.request, unknown ? End::Broken : End::Refused, refusal.kind);
    }
    for (const Outgoing<SlotMessage> &outgoing : decisions.messages) {
        send(host, outgoing);
    }
    scheduleTick(host);
}

void Fleet::send(std::size_t from, const Outgoing<SlotMessage> &outgoing)
{
    ++totals_.messages;
    const std::size_t to = hostIndex(outgoing.to);
    if (to >= hosts_.size() || !reachable(scenario_.hosts[from].zone, scenario_.hosts[to].zone)) {
        return;
    }
    const HostId sender = scenario_.hosts[from].id;
    const Duration delay = distance(scenario_, scenario_.hosts[from].zone, scenario_.hosts[to].zone);
    clock_.after(delay, [this, to, sender, message = outgoing.message] {
        if (!hosts_[to].alive) {
            return;
        }
        Decisions decisions;
        hosts_[to].dispatcher->receive(sender, message, clock_.now(), decisions);
        apply(to, decisions);
    });
}

void Fleet::scheduleTick(std::size_t host)
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

void Fleet::pumpOmniscient()
{
    Decisions decisions;
    omniscient_.pump(clock_.now(), draining_, decisions);
    for (const Start &begin : decisions.starts) {
        start(begin, records_[begin.request].arrival.host);
    }
    for (const Refusal &refusal : decisions.refusals) {
        end(refusal.request, End::Refused, refusal.kind);
    }
}

bool Fleet::reachable(const AvailabilityZone &from, const AvailabilityZone &to) const
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

std::size_t Fleet::upstreamIndex(const Endpoint &endpoint) const
{
    return endpoint.address - scenario_.service.upstreams.front().address.address;
}

std::size_t Fleet::hostIndex(HostId host) const
{
    const auto found
        = std::find_if(scenario_.hosts.begin(), scenario_.hosts.end(), [host](const Member &member) { return member.id == host; });
    return static_cast<std::size_t>(found - scenario_.hosts.begin());
}

std::size_t Fleet::liveHost(std::size_t wanted) const
{
    for (std::size_t i = 0; i < hosts_.size(); ++i) {
        const std::size_t host = (wanted + i) % hosts_.size();
        if (hosts_[host].alive) {
            return host;
        }
    }
    return wanted;
}

Duration Fleet::distanceTo(std::size_t host, std::size_t upstream) const
{
    return distance(scenario_, scenario_.hosts[host].zone, scenario_.service.upstreams[upstream].zone);
}

} // namespace medlarway::model
