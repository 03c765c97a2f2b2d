#include "balance/dispatcher_impl.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace medlarway
{

namespace
{

/// Whether the caller already occupies its fair share of a queue for `limit` requests.
bool isOverFairShare(const WaitQueue &queue, std::uint64_t caller, std::size_t limit)
{
    const std::size_t callers = std::max<std::size_t>(queue.callerCount(), 1);
    return queue.countOfCaller(caller) >= std::max<std::size_t>(limit / callers, 1);
}

} // namespace

ChoiceContext Dispatcher::Impl::choiceContext(Time now) const
{
    constexpr Duration kShortIdleTime = std::chrono::seconds{2};
    const bool shortWaits = queue.size(false) > 0;
    return ChoiceContext{.self = self,
                         .zone = zone,
                         .slotsPerUpstream = service.limits.slotsPerUpstream,
                         .options = options,
                         .longMayUseAllSlots = !shortWaits && (!lastShortArrival || now - *lastShortArrival > kShortIdleTime)};
}

// The requests ahead in the same lane, at the mean service time, spread over this host's share of the slots.
Duration Dispatcher::Impl::expectedWait(bool isLong, Time latestStart) const
{
    const std::size_t allSlots = upstreams.listedCount() * service.limits.slotsPerUpstream;
    const std::size_t share = std::max<std::size_t>({allSlots / hosts(), running.size(), 1});
    const std::size_t ahead = queue.countAhead(isLong, latestStart);
    return serviceTimes.mean() * static_cast<Duration::rep>(ahead) / static_cast<Duration::rep>(share);
}

std::optional<ErrorKind> Dispatcher::Impl::admissionError(const QueuedRequest &waiting, Time now) const
{
    // Step 1. The catalogue lists no upstream that may take it.
    const auto usable = [](const UpstreamState &state) { return state.listed && !state.upstream.draining; };
    if (std::none_of(upstreams.all().begin(), upstreams.all().end(), usable)) {
        return ErrorKind::NoUpstream;
    }

    // Step 2. It could not meet its deadline even if it started now.
    if (waiting.latestStart < now) {
        return waiting.attempts > 0 ? waiting.lastError : ErrorKind::DeadlineUnreachable;
    }

    // Step 3. It is expected to wait for too long behind the requests ahead of it.
    if (options.earlyRefusal && now + expectedWait(waiting.isLong, waiting.latestStart) > waiting.latestStart) {
        return ErrorKind::DeadlineUnreachable;
    }
    return std::nullopt;
}

void Dispatcher::Impl::enqueue(const QueuedRequest &waiting, Time now, Decisions &decisions)
{
    // Step 1. Refuse a request without prospects at once, while its caller still has time to try elsewhere.
    if (const std::optional<ErrorKind> kind = admissionError(waiting, now)) {
        refuse(waiting.request.id, waiting.mayHaveRun, *kind, decisions);
        return;
    }

    // Step 2. If the queue is full, refuse the request of a caller that already has its fair share. Otherwise make
    // room by refusing the last request of the caller with the most waiting.
    if (queue.size() >= service.limits.queueLength && queue.size() > 0) {
        if (isOverFairShare(queue, waiting.request.caller, service.limits.queueLength)) {
            const ErrorKind kind = queue.callerCount() > 1 ? ErrorKind::CallerOverShare : ErrorKind::QueueFull;
            refuse(waiting.request.id, waiting.mayHaveRun, kind, decisions);
            return;
        }
        const QueuedRequest victim = *queue.remove(queue.lastOfBusiestCaller()->request.id);
        refuse(victim.request.id, victim.mayHaveRun, ErrorKind::CallerOverShare, decisions);
    }
    queue.push(waiting);
}

void Dispatcher::Impl::schedule(Time now, Decisions &decisions)
{
    lastUpdate = now;
    markLongRunning(now);

    // Step 1. Refuse requests that can no longer meet their deadline.
    for (const QueuedRequest &late : queue.expire(now)) {
        const ErrorKind kind = late.attempts > 0 ? late.lastError : ErrorKind::DeadlineUnreachable;
        refuse(late.request.id, late.mayHaveRun, kind, decisions);
    }

    // Step 2. Give free slots to the most urgent requests, this host's or a peer's.
    while (serveMostUrgent(now, decisions)) {
    }

    // Step 3. Trim the queue to its limit. Requests pass through the queue even with a limit of 0, which
    // allows no waiting.
    while (queue.size() > service.limits.queueLength) {
        const QueuedRequest victim = *queue.remove(queue.lastOfBusiestCaller()->request.id);
        refuse(victim.request.id, victim.mayHaveRun, ErrorKind::QueueFull, decisions);
    }
    sendPeerMessages(now, decisions);
}

bool Dispatcher::Impl::serveMostUrgent(Time now, Decisions &decisions)
{
    // Step 1. Collect the most urgent request of each lane, here and at peers.
    struct Claim {
        Time latestStart;
        bool isLong = false;
        bool fromPeer = false;
    };
    std::vector<Claim> claims;
    for (const bool isLong : {false, true}) {
        if (const QueuedRequest *first = queue.first(isLong, now)) {
            claims.push_back({first->latestStart, isLong, false});
        }
        if (const BorrowRequest *request = leases.mostUrgentRequest(isLong, now)) {
            claims.push_back({request->latestStart, isLong, true});
        }
    }
    std::stable_sort(claims.begin(), claims.end(), [](const Claim &a, const Claim &b) { return a.latestStart < b.latestStart; });

    // Step 2. Serve the most urgent one that a suitable slot is free for.
    return std::any_of(claims.begin(), claims.end(), [&](const Claim &claim) {
        return claim.fromPeer ? leases.lend(upstreams, choiceContext(now), claim.isLong, now, decisions.messages)
                              : startFirst(claim.isLong, now, decisions);
    });
}

void Dispatcher::Impl::sendPeerMessages(Time now, Decisions &decisions)
{
    if (options.strategy == Strategy::Gossip) {
        gossip.publish(upstreams, now, decisions.messages);
    }
    if (options.strategy != Strategy::Leases) {
        return;
    }
    leases.maintainLoans(upstreams, now, decisions.messages);
    for (const bool isLong : {false, true}) {
        if (const QueuedRequest *first = queue.first(isLong, now)) {
            leases.requestSlots(isLong, queue.size(isLong), first->latestStart, now, decisions.messages);
        }
    }
}

void Dispatcher::Impl::assignSlots(Time now, Decisions &decisions)
{
    gossip.setView(upstreams, view, self);
    if (options.strategy == Strategy::Leases) {
        leases.assign(upstreams, view, now, decisions.messages);
    }
}

bool Dispatcher::Impl::startFirst(bool isLong, Time now, Decisions &decisions)
{
    const QueuedRequest *first = queue.first(isLong, now);
    if (first == nullptr) {
        return false;
    }
    const std::optional<SlotIndex> chosen = chooseSlot(upstreams, choiceContext(now), isLong, first->avoid, roundRobinNext, random, now);
    if (!chosen) {
        return false;
    }
    const QueuedRequest waiting = *queue.remove(first->request.id);
    UpstreamState &state = upstreams.all()[chosen->upstream];
    SlotLeases::recordStart(state.slots[chosen->slot], now);
    ++state.running;
    state.runningLong += isLong ? 1 : 0;
    running.emplace(waiting.request.id, RunningRequest{.request = waiting.request,
                                                       .upstream = state.upstream.address,
                                                       .slot = chosen->slot,
                                                       .started = now,
                                                       .attempts = waiting.attempts,
                                                       .isLong = isLong,
                                                       .mayHaveRun = waiting.mayHaveRun});
    decisions.starts.push_back({waiting.request.id, state.upstream.address});
    return true;
}

void Dispatcher::Impl::markLongRunning(Time now)
{
    for (auto &[id, run] : running) {
        if (run.isLong || now - run.started <= service.limits.shortBound) {
            continue;
        }
        run.isLong = true;
        if (UpstreamState *state = upstreams.find(run.upstream)) {
            ++state->runningLong;
        }
    }
}

void Dispatcher::Impl::releaseSlot(const RunningRequest &run, Time now)
{
    UpstreamState *state = upstreams.find(run.upstream);
    if (state == nullptr) {
        return;
    }
    --state->running;
    state->runningLong -= run.isLong ? 1 : 0;
    Slot &slot = state->slots[run.slot];
    slot.busy = false;
    slot.lastUsed = now;
    slot.loanBusyTime += now - run.started;
    addBusyTime(*state, now - run.started, now);
}

} // namespace medlarway
