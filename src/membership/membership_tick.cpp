#include "membership/membership_impl.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Absent hosts are probed so that the two sides of a healed partition find each other again.
constexpr std::uint64_t kIntervalsPerAbsentProbe = 2;

// The time between the requests of a sync, and the timeout of a response.
constexpr Duration kSyncChunkInterval = std::chrono::milliseconds{200};

// Peers to which a host announces its own change directly.
constexpr std::size_t kMaxNoticeRecipients = 5;

} // namespace

// Called first for every input. Starts the timers on the first call; later detects a pause of this host
// by a tick that is overdue.
void Membership::Impl::observeTime(Time now)
{
    if (started) {
        if (now > nextTick() + options.maxTickDelay) {
            resumeAfterPause(now);
        }
        return;
    }
    // A random offset keeps hosts that start together from probing at the same moments.
    started = true;
    nextProbe = now + Duration{static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(options.probeInterval.count())))};
    freshDeadline = now + options.confirmTimeout;
}

// After a pause the view is out of date: takes a new incarnation, cancels the pending probe and restarts
// suspicion timeouts, and syncs with peers before the view counts as fresh.
void Membership::Impl::resumeAfterPause(Time now)
{
    table.addEvent(MembershipEventKind::WokeLate, options.self, options.zone);
    probe.reset();
    table.restartSuspicionTimeouts(now, suspicionTimeout());
    nextProbe = now + options.probeInterval;
    fresh = false;
    freshDeadline = now + options.confirmTimeout;
    refute(incarnation);
    noticeDueAt = now;
    startFullSync(now);
}

Time Membership::Impl::nextTick() const
{
    auto next = nextProbe;
    if (probe && !probe->retried && !probe->acknowledged) {
        next = std::min(next, probe->retryAt);
    }
    if (sync) {
        next = std::min(next, sync->nextAt);
    }
    if (noticeDueAt) {
        next = std::min(next, *noticeDueAt);
    }
    return next;
}

void Membership::Impl::tick(Time now, Outbox<MembershipMessage> &outbox)
{
    observeTime(now);
    if (departed) {
        nextProbe = now + options.probeInterval;
        return;
    }
    if (!fresh && now >= freshDeadline) {
        // No peer confirmed the view: this host is on one side of a partition, or the whole fleet is starting.
        fresh = true;
    }
    if (sync && now >= sync->nextAt) {
        requestSyncChunk(now, outbox);
    }
    if (noticeDueAt) {
        noticeDueAt.reset();
        sendNotices(MembershipUpdateKind::Alive, outbox);
    }
    if (probe && !probe->retried && !probe->acknowledged && now >= probe->retryAt) {
        retryProbe(outbox);
    }
    if (now >= nextProbe) {
        startProbeInterval(now, outbox);
    }
}

// Starts a probe interval: evaluates the last probe, removes expired suspects and sends the next probes.
void Membership::Impl::startProbeInterval(Time now, Outbox<MembershipMessage> &outbox)
{
    // Step 1. Evaluate the last probe. After a short stall its acknowledgement may still be unread in the socket,
    // so a missing one proves nothing.
    const bool stalled = now > nextProbe + options.ackTimeout;
    ++intervalCount;
    syncReplies = 0;
    nextProbe = std::max(nextProbe + options.probeInterval, now);
    if (stalled) {
        probe.reset();
    } else {
        finishProbe(now);
        // Keep the removed hosts' Suspect updates queued: while a whole zone is lost, spreading them takes longer
        // than the suspicion timeout.
        table.expireSuspects(now);
    }
    // Step 2. Probe one member, one suspect and, at a lower rate, one absent host.
    startProbe(now, outbox);
    probeSuspect(outbox);
    if (intervalCount % kIntervalsPerAbsentProbe == 0) {
        probeAbsent(outbox);
    }
    // Step 3. Start a repair sync when due. Adding the host's id spreads the syncs of different hosts over time.
    const auto intervalsPerSync = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(options.syncInterval / options.probeInterval));
    if (!sync && (intervalCount + options.self.value) % intervalsPerSync == 0) {
        startRepairSync(now);
    }
}

// The direct probe may have been lost: repeats it, and requests indirect probes through other members.
void Membership::Impl::retryProbe(Outbox<MembershipMessage> &outbox)
{
    probe->retried = true;
    auto retry = compose(MembershipMessageKind::Probe, probe->target, false);
    retry.sequence = probe->sequence;
    outbox.push_back({probe->target, std::move(retry)});
    std::vector<HostId> relays;
    for (std::uint32_t attempt = 0; attempt < 2 * options.indirectProbes && relays.size() < options.indirectProbes; ++attempt) {
        const auto relay = randomPeer(true);
        if (relay == HostId{} || relay == probe->target || std::find(relays.begin(), relays.end(), relay) != relays.end()) {
            continue;
        }
        relays.push_back(relay);
        auto request = compose(MembershipMessageKind::ProbeRequest, relay, false);
        request.sequence = probe->sequence;
        request.target = probe->target;
        outbox.push_back({relay, std::move(request)});
    }
}

// A host that acknowledged neither the direct nor an indirect probe within the interval becomes suspect.
void Membership::Impl::finishProbe(Time now)
{
    if (probe && !probe->acknowledged) {
        const auto *peer = table.find(probe->target);
        if (peer != nullptr && peer->isMember() && !peer->isSuspect()) {
            applyUpdate(MembershipUpdate{probe->target, peer->machine.incarnation, MembershipUpdateKind::Suspect, false}, now);
        }
    }
    probe.reset();
}

void Membership::Impl::startProbe(Time now, Outbox<MembershipMessage> &outbox)
{
    // Suspects are probed by probeSuspect().
    const auto isEligible = [this](HostId host) {
        const auto *peer = table.find(host);
        return peer != nullptr && peer->isMember() && !peer->isSuspect();
    };
    auto target = memberOrder.next(isEligible);
    if (target == HostId{}) {
        std::vector<HostId> members;
        for (const auto &[id, peer] : table.peers()) {
            if (peer.isMember()) {
                members.push_back(id);
            }
        }
        memberOrder.startRound(std::move(members), random);
        target = memberOrder.next(isEligible);
    }
    if (target == HostId{}) {
        return;
    }
    probe = PendingProbe{target, ++sequence, now + options.ackTimeout};
    auto message = compose(MembershipMessageKind::Probe, target, false);
    message.sequence = sequence;
    outbox.push_back({target, std::move(message)});
}

// Probes one random suspect in each interval; the probe carries the suspicion, which prompts it to refute.
void Membership::Impl::probeSuspect(Outbox<MembershipMessage> &outbox)
{
    if (table.suspectCount() == 0) {
        return;
    }
    std::vector<HostId> suspects;
    for (const auto &[id, peer] : table.peers()) {
        if (peer.isSuspect()) {
            suspects.push_back(id);
        }
    }
    const auto host = suspects[random.below(suspects.size())];
    auto message = compose(MembershipMessageKind::Probe, host, false);
    message.sequence = ++sequence;
    outbox.push_back({host, std::move(message)});
}

// Probes one host that is listed but not a member; successive calls go through all of them in turn.
void Membership::Impl::probeAbsent(Outbox<MembershipMessage> &outbox)
{
    const auto isAbsent = [this](HostId host) {
        const auto *peer = table.find(host);
        return peer != nullptr && !peer->isMember();
    };
    auto host = absentOrder.next(isAbsent);
    if (host == HostId{} && table.memberCount() < table.peers().size()) {
        std::vector<HostId> absent;
        for (const auto &[id, peer] : table.peers()) {
            if (!peer.isMember()) {
                absent.push_back(id);
            }
        }
        absentOrder.startRound(std::move(absent), random);
        host = absentOrder.next(isAbsent);
    }
    if (host == HostId{}) {
        return;
    }
    auto message = compose(MembershipMessageKind::Probe, host, false);
    message.sequence = ++sequence;
    outbox.push_back({host, std::move(message)});
}

void Membership::Impl::startFullSync(Time now)
{
    sync = PendingSync{HostId{}, HostId{}, 0, now, false, true, true};
}

void Membership::Impl::startRepairSync(Time now)
{
    sync = PendingSync{HostId{}, repairCursor, 0, now, false, true, false};
}

// Announces this host's own state directly to some members, which spread it by gossip.
void Membership::Impl::sendNotices(MembershipUpdateKind kind, Outbox<MembershipMessage> &outbox)
{
    std::vector<HostId> members;
    for (const auto &[id, peer] : table.peers()) {
        if (peer.isMember()) {
            members.push_back(id);
        }
    }
    std::shuffle(members.begin(), members.end(), random);
    members.resize(std::min(members.size(), kMaxNoticeRecipients));
    for (const auto host : members) {
        auto notice = compose(MembershipMessageKind::Notice, host, false);
        notice.updates.push_back(MembershipUpdate{options.self, incarnation, kind, selfLeaving()});
        outbox.push_back({host, std::move(notice)});
    }
}

// Requests the next chunk. If the last one did not arrive, requests it from another peer: the cursor is valid
// for all peers since each lists its members in the order of ids.
void Membership::Impl::requestSyncChunk(Time now, Outbox<MembershipMessage> &outbox)
{
    if (sync->waiting && !sync->full) {
        // The peer of a repair sync did not respond: give up until the next repair is due.
        sync.reset();
        return;
    }
    if (sync->waiting || sync->peer == HostId{}) {
        sync->peer = randomPeer(fresh);
    }
    sync->nextAt = now + kSyncChunkInterval;
    if (sync->peer == HostId{}) {
        if (fresh) {
            sync.reset();
        }
        return;
    }
    sync->waiting = true;
    sync->sequence = ++sequence;
    auto message = compose(MembershipMessageKind::Sync, sync->peer, false);
    message.sequence = sync->sequence;
    message.target = sync->cursor;
    outbox.push_back({sync->peer, std::move(message)});
}

// A random peer, or with membersOnly a random member that is not suspect; HostId{} if there is none.
HostId Membership::Impl::randomPeer(bool membersOnly)
{
    const auto isEligible
        = [membersOnly](const auto &entry) { return !membersOnly || (entry.second.isMember() && !entry.second.isSuspect()); };
    const auto &peers = table.peers();
    auto skip = random.below(static_cast<std::uint64_t>(std::count_if(peers.begin(), peers.end(), isEligible)));
    for (const auto &entry : peers) {
        if (isEligible(entry) && skip-- == 0) {
            return entry.first;
        }
    }
    return HostId{};
}

} // namespace medlarway
