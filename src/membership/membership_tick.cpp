#include "membership/membership_core.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Every second interval one absent host is probed, which is how the sides of a healed cut meet again.
constexpr std::uint64_t kAbsentProbePeriods = 2;

// The gap between two chunks of a walk, and how long an answer is waited for.
constexpr Duration kSyncStep = std::chrono::milliseconds{200};

// Peers that a host tells directly of its own change.
constexpr std::size_t kNotices = 5;

} // namespace

// Compares the moment with the tick that was due.
void Membership::Impl::noteTime(Time now)
{
    if (started) {
        if (now > nextTick() + options.pauseBound) {
            wakeLate(now);
        }
        return;
    }
    // Hosts that start together must not probe in step.
    started = true;
    nextProbe = now + Duration{static_cast<Duration::rep>(random.below(static_cast<std::uint64_t>(options.probeInterval.count())))};
    freshDeadline = now + options.freshWait;
}

// A host that was paused holds an old view: it takes a new incarnation, drops what it
// was about to accuse others of, and asks its peers before its view counts as fresh.
void Membership::Impl::wakeLate(Time now)
{
    table.addNews(MembershipNewsKind::WokeLate, options.self, options.zone);
    probe.reset();
    table.restartSuspicions(now, suspicion());
    nextProbe = now + options.probeInterval;
    fresh = false;
    freshDeadline = now + options.freshWait;
    refute(incarnation);
    noticeAt = now;
    beginSync(now);
}

Time Membership::Impl::nextTick() const
{
    auto next = nextProbe;
    if (probe && !probe->retried && !probe->answered) {
        next = std::min(next, probe->retryAt);
    }
    if (sync) {
        next = std::min(next, sync->nextAt);
    }
    if (noticeAt) {
        next = std::min(next, *noticeAt);
    }
    return next;
}

void Membership::Impl::tick(Time now, Outbox<MembershipMessage> &outbox)
{
    noteTime(now);
    if (departed) {
        nextProbe = now + options.probeInterval;
        return;
    }
    if (!fresh && now >= freshDeadline) {
        // Nobody confirmed: this side of a cut, or a fleet that starts as a whole, decides alone.
        fresh = true;
    }
    if (sync && now >= sync->nextAt) {
        stepSync(now, outbox);
    }
    if (noticeAt) {
        noticeAt.reset();
        sendNotices(PeerClaim::Alive, outbox);
    }
    if (probe && !probe->retried && !probe->answered && now >= probe->retryAt) {
        retryProbe(outbox);
    }
    if (now >= nextProbe) {
        startInterval(now, outbox);
    }
}

// One probe interval: judges the last probe, removes suspects, and sends the next probes.
void Membership::Impl::startInterval(Time now, Outbox<MembershipMessage> &outbox)
{
    // Step 1. After a short stall answers may still wait unread: silence proves nothing then.
    const bool stalled = now > nextProbe + options.ackTimeout;
    ++period;
    syncReplies = 0;
    nextProbe = std::max(nextProbe + options.probeInterval, now);
    if (stalled) {
        probe.reset();
    } else {
        finishProbe(now);
        // The claims go on to be passed on: while a whole zone is lost they take longer than a suspicion.
        table.expire(now);
    }
    // Step 2. A member, one suspect, and now and then an absent host.
    startProbe(now, outbox);
    probeSuspect(outbox);
    if (period % kAbsentProbePeriods == 0) {
        probeAbsent(outbox);
    }
    // Step 3. Repair.
    const auto syncPeriods = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(options.syncInterval / options.probeInterval));
    if (!sync && (period + options.self.value) % syncPeriods == 0) {
        beginRepair(now);
    }
}

// The direct probe may have been lost: sends it again, and asks others to probe.
void Membership::Impl::retryProbe(Outbox<MembershipMessage> &outbox)
{
    probe->retried = true;
    auto again = compose(MembershipMessageKind::Probe, probe->target, false);
    again.sequence = probe->sequence;
    outbox.push_back({probe->target, std::move(again)});
    std::vector<HostId> asked;
    for (std::uint32_t attempt = 0; attempt < 2 * options.indirectProbes && asked.size() < options.indirectProbes; ++attempt) {
        const auto relay = randomPeer(true);
        if (relay == HostId{} || relay == probe->target || std::find(asked.begin(), asked.end(), relay) != asked.end()) {
            continue;
        }
        asked.push_back(relay);
        auto request = compose(MembershipMessageKind::ProbeRequest, relay, false);
        request.sequence = probe->sequence;
        request.target = probe->target;
        outbox.push_back({relay, std::move(request)});
    }
}

// The interval is over: a host that answered neither directly nor through others is suspect.
void Membership::Impl::finishProbe(Time now)
{
    if (probe && !probe->answered) {
        const auto *peer = table.find(probe->target);
        if (peer != nullptr && peer->isMember() && !peer->isSuspect()) {
            applyUpdate(MembershipUpdate{probe->target, peer->life.incarnation, PeerClaim::Suspect, false}, now);
        }
    }
    probe.reset();
}

void Membership::Impl::startProbe(Time now, Outbox<MembershipMessage> &outbox)
{
    // Suspects have probes of their own.
    const auto isWanted = [this](HostId host) {
        const auto *peer = table.find(host);
        return peer != nullptr && peer->isMember() && !peer->isSuspect();
    };
    auto target = memberOrder.next(isWanted);
    if (target == HostId{}) {
        std::vector<HostId> members;
        for (const auto &[id, peer] : table.peers()) {
            if (peer.isMember()) {
                members.push_back(id);
            }
        }
        memberOrder.fill(std::move(members), random);
        target = memberOrder.next(isWanted);
    }
    if (target == HostId{}) {
        return;
    }
    probe = PendingProbe{target, ++sequence, now + options.ackTimeout};
    auto message = compose(MembershipMessageKind::Probe, target, false);
    message.sequence = sequence;
    outbox.push_back({target, std::move(message)});
}

// A suspect gets a further chance in each interval, which also tells it what to refute.
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

// Hosts that are listed but do not answer are asked at a bounded rate, all of them in turn.
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
        absentOrder.fill(std::move(absent), random);
        host = absentOrder.next(isAbsent);
    }
    if (host == HostId{}) {
        return;
    }
    auto message = compose(MembershipMessageKind::Probe, host, false);
    message.sequence = ++sequence;
    outbox.push_back({host, std::move(message)});
}

void Membership::Impl::beginSync(Time now)
{
    sync = PendingSync{HostId{}, HostId{}, 0, now, false, true, true};
}

void Membership::Impl::beginRepair(Time now)
{
    sync = PendingSync{HostId{}, repairCursor, 0, now, false, true, false};
}

// Some members are told directly, since nobody else knows yet; they pass it on.
void Membership::Impl::sendNotices(PeerClaim claim, Outbox<MembershipMessage> &outbox)
{
    std::vector<HostId> members;
    for (const auto &[id, peer] : table.peers()) {
        if (peer.isMember()) {
            members.push_back(id);
        }
    }
    std::shuffle(members.begin(), members.end(), random);
    members.resize(std::min(members.size(), kNotices));
    for (const auto host : members) {
        auto notice = compose(MembershipMessageKind::Notice, host, false);
        notice.updates.push_back(MembershipUpdate{options.self, incarnation, claim, selfLeaving()});
        outbox.push_back({host, std::move(notice)});
    }
}

// Asks for the next chunk; where the last one did not come, another peer is asked for it, since
// all tell their members in the order of ids.
void Membership::Impl::stepSync(Time now, Outbox<MembershipMessage> &outbox)
{
    if (sync->waiting && !sync->whole) {
        // A repair that met a silent host waits for the next one's time.
        sync.reset();
        return;
    }
    if (sync->waiting || sync->peer == HostId{}) {
        sync->peer = randomPeer(fresh);
    }
    sync->nextAt = now + kSyncStep;
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

// A random peer, or a random member that is not suspect; HostId{} where there is none.
HostId Membership::Impl::randomPeer(bool membersOnly)
{
    const auto isWanted
        = [membersOnly](const auto &entry) { return !membersOnly || (entry.second.isMember() && !entry.second.isSuspect()); };
    const auto &peers = table.peers();
    auto skip = random.below(static_cast<std::uint64_t>(std::count_if(peers.begin(), peers.end(), isWanted)));
    for (const auto &entry : peers) {
        if (isWanted(entry) && skip-- == 0) {
            return entry.first;
        }
    }
    return HostId{};
}

} // namespace medlarway
