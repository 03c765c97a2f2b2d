#include "balance/dispatcher_impl.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace medlarway
{

namespace
{

/// Whether the caller has its fair share of the queue already.
bool overShare(const WaitQueue &queue, std::uint64_t caller, std::size_t limit)
{
    const std::size_t callers = std::max<std::size_t>(queue.callers(), 1);
    return queue.ofCaller(caller) >= std::max<std::size_t>(limit / callers, 1);
}

} // namespace

ChoiceRules Dispatcher::Impl::rules(Time now) const
{
    constexpr Duration kShortQuiet = std::chrono::seconds{2};
    const bool shortWaits = queue.size(false) > 0;
    return ChoiceRules{.self = self,
                       .zone = zone,
                       .slotsPerUpstream = service.limits.slotsPerUpstream,
                       .options = options,
                       .longMayTakeAll = !shortWaits && (!lastShort || now - *lastShort > kShortQuiet)};
}

// The work ahead in the same lane, spread over this host's share of the slots.
Duration Dispatcher::Impl::expectedWait(bool isLong, Time latestStart) const
{
    const std::size_t allSlots = upstreams.listed() * service.limits.slotsPerUpstream;
    const std::size_t share = std::max<std::size_t>({allSlots / hosts(), running.size(), 1});
    const std::size_t ahead = queue.ahead(isLong, latestStart);
    return times.mean() * static_cast<Duration::rep>(ahead) / static_cast<Duration::rep>(share);
}

std::optional<ErrorKind> Dispatcher::Impl::refusalFor(const Waiting &waiting, Time now) const
{
    // Step 1. Nothing in the catalogue may take it.
    const auto usable = [](const UpstreamState &state) { return state.listed && !state.upstream.draining; };
    if (std::none_of(upstreams.all().begin(), upstreams.all().end(), usable)) {
        return ErrorKind::NoUpstream;
    }

    // Step 2. It can't finish in time even if it started now.
    if (waiting.latestStart < now) {
        return waiting.attempts > 0 ? waiting.lastFailure : ErrorKind::DeadlineUnreachable;
    }

    // Step 3. The work ahead of it leaves no time.
    if (options.earlyRefusal && now + expectedWait(waiting.isLong, waiting.latestStart) > waiting.latestStart) {
        return ErrorKind::DeadlineUnreachable;
    }
    return std::nullopt;
}

void Dispatcher::Impl::enqueue(const Waiting &waiting, Time now, Decisions &decisions)
{
    // Step 1. What has no chance is refused at once, while the caller can still go elsewhere.
    if (const std::optional<ErrorKind> kind = refusalFor(waiting, now)) {
        refuse(waiting.request.id, waiting.mayHaveRun, *kind, decisions);
        return;
    }

    // Step 2. A full queue: a caller with its fair share waiting gets no more; else the busiest
    // caller gives up the request that would start last.
    if (queue.size() >= service.limits.queueLength && queue.size() > 0) {
        if (overShare(queue, waiting.request.caller, service.limits.queueLength)) {
            const ErrorKind kind = queue.callers() > 1 ? ErrorKind::CallerOverShare : ErrorKind::QueueFull;
            refuse(waiting.request.id, waiting.mayHaveRun, kind, decisions);
            return;
        }
        const Waiting victim = *queue.remove(queue.lastOfBusiestCaller()->request.id);
        refuse(victim.request.id, victim.mayHaveRun, ErrorKind::CallerOverShare, decisions);
    }
    queue.push(waiting);
}

void Dispatcher::Impl::pump(Time now, Decisions &decisions)
{
    lastNow = now;
    noteAges(now);

    // Step 1. Requests that are too late give way.
    for (const Waiting &late : queue.expire(now)) {
        const ErrorKind kind = late.attempts > 0 ? late.lastFailure : ErrorKind::DeadlineUnreachable;
        refuse(late.request.id, late.mayHaveRun, kind, decisions);
    }

    // Step 2. Slots go to whoever must start first, this host's requests or a peer's.
    while (serveFirst(now, decisions)) {
    }

    // Step 3. A queue of length zero stands for no waiting at all.
    while (queue.size() > service.limits.queueLength) {
        const Waiting victim = *queue.remove(queue.lastOfBusiestCaller()->request.id);
        refuse(victim.request.id, victim.mayHaveRun, ErrorKind::QueueFull, decisions);
    }
    exchange(now, decisions);
}

bool Dispatcher::Impl::serveFirst(Time now, Decisions &decisions)
{
    // Step 1. Who asks: the two lanes here, the two lanes of peers.
    struct Claim {
        Time latestStart;
        bool isLong = false;
        bool isPeers = false;
    };
    std::vector<Claim> claims;
    for (const bool isLong : {false, true}) {
        if (const Waiting *first = queue.first(isLong, now)) {
            claims.push_back({first->latestStart, isLong, false});
        }
        if (const SlotWant *want = slots.firstWant(isLong, now)) {
            claims.push_back({want->latestStart, isLong, true});
        }
    }
    std::stable_sort(claims.begin(), claims.end(), [](const Claim &a, const Claim &b) { return a.latestStart < b.latestStart; });

    // Step 2. The first that a free slot suits gets it.
    return std::any_of(claims.begin(), claims.end(), [&](const Claim &claim) {
        return claim.isPeers ? slots.lend(upstreams, rules(now), claim.isLong, now, decisions.messages)
                             : placeFirst(claim.isLong, now, decisions);
    });
}

void Dispatcher::Impl::exchange(Time now, Decisions &decisions)
{
    if (options.sharing == Sharing::Gossip) {
        peerCounts.publish(upstreams, now, decisions.messages);
    }
    if (options.sharing != Sharing::Leases) {
        return;
    }
    slots.upkeep(upstreams, now, decisions.messages);
    for (const bool isLong : {false, true}) {
        if (const Waiting *first = queue.first(isLong, now)) {
            slots.ask(isLong, queue.size(isLong), first->latestStart, now, decisions.messages);
        }
    }
}

void Dispatcher::Impl::shareSlots(Time now, Decisions &decisions)
{
    peerCounts.setView(upstreams, view, self);
    if (options.sharing == Sharing::Leases) {
        slots.assign(upstreams, view, now, decisions.messages);
    }
}

bool Dispatcher::Impl::placeFirst(bool isLong, Time now, Decisions &decisions)
{
    const Waiting *first = queue.first(isLong, now);
    if (first == nullptr) {
        return false;
    }
    const std::optional<SlotPlace> place = chooseSlot(upstreams, rules(now), isLong, first->avoid, turn, random, now);
    if (!place) {
        return false;
    }
    const Waiting waiting = *queue.remove(first->request.id);
    UpstreamState &state = upstreams.all()[place->upstream];
    SlotShares::noteStart(state.slots[place->slot], now);
    ++state.running;
    state.runningLong += isLong ? 1 : 0;
    running.emplace(waiting.request.id, Running{.request = waiting.request,
                                                .upstream = state.upstream.address,
                                                .slot = place->slot,
                                                .started = now,
                                                .attempts = waiting.attempts,
                                                .isLong = isLong,
                                                .mayHaveRun = waiting.mayHaveRun});
    decisions.starts.push_back({waiting.request.id, state.upstream.address});
    return true;
}

void Dispatcher::Impl::noteAges(Time now)
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

void Dispatcher::Impl::release(const Running &run, Time now)
{
    UpstreamState *state = upstreams.find(run.upstream);
    if (state == nullptr) {
        return;
    }
    --state->running;
    state->runningLong -= run.isLong ? 1 : 0;
    Slot &slot = state->slots[run.slot];
    slot.busy = false;
    slot.usedAt = now;
    slot.loanBusy += now - run.started;
    noteBusy(*state, now - run.started, now);
}

} // namespace medlarway
