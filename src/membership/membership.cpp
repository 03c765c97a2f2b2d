#include "membership/membership.h"

#include "membership/membership_core.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace medlarway
{

namespace
{

// Chunks that a host tells in one probe interval, so that a fleet that restarts can't flood it.
constexpr std::uint32_t kSyncRepliesPerInterval = 4;

// While many claims wait, as after the loss of a zone, a message takes this share of them, up to
// a multiple of the usual number.
constexpr std::uint32_t kCrowdedRounds = 8;
constexpr std::uint32_t kCrowdedFactor = 4;

// A returned host causes a walk over its list where more than this share of the peers is absent:
// then a cut has healed and gossip alone would take minutes.
constexpr std::size_t kHealingShare = 8;
constexpr Duration kHealingGap = std::chrono::seconds{30};

} // namespace

Membership::Impl::Impl(MembershipOptions given)
    : options(std::move(given))
    , table(options.self, options.zone)
    , random(options.seed)
    , incarnation(std::max<std::uint64_t>(options.incarnation, 1))
{
    options.updatesPerMessage = std::max<std::uint32_t>(options.updatesPerMessage, 1);
    announceSelf();
}

bool Membership::Impl::selfLeaving() const
{
    return leaving || table.selfListedLeaving();
}

void Membership::Impl::announceSelf()
{
    queue.put(MembershipUpdate{options.self, incarnation, PeerClaim::Alive, selfLeaving()});
    viewStale = true;
}

// The factor times log2 of the number of hosts: gossip reaches a fleet in that many rounds.
std::uint32_t Membership::Impl::rounds(std::uint32_t factor) const
{
    return factor * static_cast<std::uint32_t>(std::bit_width(table.memberCount() + 1));
}

Duration Membership::Impl::suspicion() const
{
    return options.probeInterval * rounds(options.suspicionRounds);
}

// Whoever holds this host for suspect, removed, or a later incarnation than it is
// (a wall clock stepped back across a restart) is answered with a higher one.
void Membership::Impl::refute(std::uint64_t claimed)
{
    if (departed) {
        return;
    }
    incarnation = std::max(incarnation, claimed) + 1;
    announceSelf();
}

void Membership::Impl::applyUpdate(const MembershipUpdate &update, Time now, bool passOn)
{
    if (update.host == options.self) {
        const bool isOther = update.claim != PeerClaim::Alive || update.incarnation > incarnation;
        if (isOther && update.incarnation >= incarnation) {
            refute(update.incarnation);
        }
        return;
    }
    const auto *peer = table.find(update.host);
    const bool wasMember = peer != nullptr && peer->isMember();
    if (!table.apply(update, now, suspicion())) {
        return;
    }
    if (passOn) {
        queue.put(update);
    }
    if (!wasMember) {
        memberOrder.insert(update.host, random);
    }
}

// Fills in what every message carries: the sender's own state, a correction where the
// receiver has to refute something, and waiting claims.
MembershipMessage Membership::Impl::compose(MembershipMessageKind kind, HostId to, bool correct)
{
    MembershipMessage message;
    message.kind = kind;
    message.incarnation = incarnation;
    message.leaving = selfLeaving();
    message.fresh = fresh;
    const auto *peer = table.find(to);
    if (peer == nullptr) {
        return message;
    }
    // A host that is held for suspect or removed learns it here first, and refutes.
    const bool silent = peer->isSuspect() || !peer->isMember();
    if (correct || (silent && peer->life.incarnation > 0)) {
        message.updates.push_back(MembershipUpdate{to, peer->life.incarnation, PeerClaim::Suspect, false});
    }
    // Claims are sent a bounded number of times: none is spent on a host that does not answer.
    if (!silent) {
        const auto waiting = static_cast<std::uint32_t>(queue.size()) / kCrowdedRounds;
        const auto limit = std::clamp(waiting, options.updatesPerMessage, options.updatesPerMessage * kCrowdedFactor);
        queue.take(limit, rounds(options.retransmitFactor), message.updates);
    }
    return message;
}

void Membership::Impl::receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox)
{
    noteTime(now);
    if (departed || from == options.self) {
        return;
    }
    // Step 1. A host that was never listed is told that this one is alive, so that it
    // accuses nobody while the list lags, but what it says is not taken in.
    const auto *peer = table.find(from);
    if (peer == nullptr) {
        if (message.kind == MembershipMessageKind::Probe && message.origin == HostId{}) {
            auto reply = compose(MembershipMessageKind::Ack, from, false);
            reply.sequence = message.sequence;
            outbox.push_back({from, std::move(reply)});
        }
        return;
    }
    // Step 2. The message itself shows that the sender runs, in this incarnation.
    const bool wasAbsent = !peer->isMember();
    applyUpdate(MembershipUpdate{from, message.incarnation, PeerClaim::Alive, message.leaving}, now);
    noteAnswer(from);
    // What a host learns from a list while it joins is no news to the others.
    const bool passOn = fresh || message.kind != MembershipMessageKind::SyncReply;
    for (const auto &update : message.updates) {
        applyUpdate(update, now, passOn);
    }
    // Step 3. Where the sender must refute something, the answer says so.
    peer = table.find(from);
    if (peer == nullptr) {
        return;
    }
    const bool behind = message.incarnation < peer->life.incarnation;
    answer(from, message, behind, outbox);
    if (message.kind == MembershipMessageKind::SyncReply) {
        onSyncReply(from, message, now);
    }
    // Step 4. A host that comes back while many are absent ends a cut: take its list over.
    const auto absent = table.peers().size() - table.memberCount();
    if (wasAbsent && peer->isMember() && !sync && absent * kHealingShare > table.peers().size() && now >= lastHealing + kHealingGap) {
        lastHealing = now;
        beginSync(now);
        sync->peer = from;
    }
}

// Any message of the probed host answers the probe: it runs and reaches this host.
void Membership::Impl::noteAnswer(HostId host)
{
    if (probe && probe->target == host) {
        probe->answered = true;
    }
}

void Membership::Impl::answer(HostId from, const MembershipMessage &message, bool corrected, Outbox<MembershipMessage> &outbox)
{
    switch (message.kind) {
    case MembershipMessageKind::Probe: {
        auto reply = compose(MembershipMessageKind::Ack, from, corrected);
        reply.sequence = message.sequence;
        reply.origin = message.origin;
        outbox.push_back({from, std::move(reply)});
        break;
    }
    case MembershipMessageKind::ProbeRequest: {
        if (message.target == options.self || table.find(message.target) == nullptr) {
            break;
        }
        auto relayed = compose(MembershipMessageKind::Probe, message.target, false);
        relayed.sequence = message.sequence;
        relayed.origin = from;
        outbox.push_back({message.target, std::move(relayed)});
        break;
    }
    case MembershipMessageKind::Ack: {
        if (message.origin == options.self || table.find(message.origin) == nullptr) {
            break;
        }
        auto relayed = compose(MembershipMessageKind::RelayedAck, message.origin, false);
        relayed.sequence = message.sequence;
        relayed.target = from;
        relayed.updates.push_back(MembershipUpdate{from, message.incarnation, PeerClaim::Alive, message.leaving});
        outbox.push_back({message.origin, std::move(relayed)});
        break;
    }
    case MembershipMessageKind::RelayedAck:
        if (probe && probe->sequence == message.sequence && probe->target == message.target) {
            probe->answered = true;
        }
        break;
    case MembershipMessageKind::Sync: {
        if (syncReplies >= kSyncRepliesPerInterval) {
            break;
        }
        ++syncReplies;
        auto reply = compose(MembershipMessageKind::SyncReply, from, corrected);
        reply.updates.resize(std::min<std::size_t>(reply.updates.size(), corrected ? 1 : 0));
        reply.sequence = message.sequence;
        reply.target = appendMembers(message.target, reply.updates);
        outbox.push_back({from, std::move(reply)});
        break;
    }
    case MembershipMessageKind::SyncReply:
    case MembershipMessageKind::Notice:
        break;
    }
}

// Appends the members that follow a host in the order of ids, as many as a chunk takes.
// Returns the last one, or 0 where the list ends.
HostId Membership::Impl::appendMembers(HostId after, std::vector<MembershipUpdate> &updates) const
{
    const auto &peers = table.peers();
    std::size_t told = 0;
    for (auto entry = peers.upper_bound(after); entry != peers.end(); ++entry) {
        const auto &peer = entry->second;
        if (!peer.isMember()) {
            continue;
        }
        if (told == kSyncEntries) {
            return updates.back().host;
        }
        const auto claim = peer.isSuspect() ? PeerClaim::Suspect : PeerClaim::Alive;
        updates.push_back(MembershipUpdate{entry->first, peer.life.incarnation, claim, peer.life.phase == PeerPhase::Leaving});
        ++told;
    }
    return HostId{};
}

// A whole walk over the list of a host whose own view is confirmed confirms this one's.
void Membership::Impl::onSyncReply(HostId from, const MembershipMessage &message, Time now)
{
    if (!sync || sync->sequence != message.sequence || sync->peer != from) {
        return;
    }
    sync->waiting = false;
    if (!sync->whole) {
        repairCursor = message.target;
        sync.reset();
        return;
    }
    sync->confirmed = sync->confirmed && message.fresh;
    if (message.target != HostId{}) {
        sync->cursor = message.target;
        return;
    }
    if (sync->confirmed) {
        fresh = true;
    }
    if (fresh) {
        sync.reset();
    } else {
        beginSync(now);
        sync->nextAt = now + options.probeInterval;
    }
}

const View &Membership::Impl::currentView()
{
    viewStale = table.takeChanged() || viewStale;
    if (!viewStale) {
        return view;
    }
    viewStale = false;
    ++view.number;
    view.members.clear();
    const Member own{options.self, options.zone, selfLeaving() ? HostState::Leaving : HostState::Alive, incarnation};
    bool ownPlaced = false;
    for (const auto &[id, peer] : table.peers()) {
        if (!ownPlaced && options.self < id) {
            view.members.push_back(own);
            ownPlaced = true;
        }
        if (!peer.isMember()) {
            continue;
        }
        const auto state = peer.isLeaving() ? HostState::Leaving : (peer.isSuspect() ? HostState::Suspect : HostState::Alive);
        view.members.push_back(Member{id, peer.zone, state, peer.life.incarnation});
    }
    if (!ownPlaced) {
        view.members.push_back(own);
    }
    return view;
}

Membership::Membership(MembershipOptions options)
    : impl_(std::make_unique<Impl>(std::move(options)))
{
}

Membership::~Membership() = default;
Membership::Membership(Membership &&) noexcept = default;
Membership &Membership::operator=(Membership &&) noexcept = default;

void Membership::setListed(const std::vector<ListedHost> &hosts, Time now)
{
    impl_->noteTime(now);
    const bool wasLeaving = impl_->selfLeaving();
    impl_->table.setListed(hosts);
    if (impl_->selfLeaving() != wasLeaving) {
        impl_->refute(impl_->incarnation);
    }
    if (!impl_->fresh && !impl_->sync) {
        impl_->beginSync(now);
    }
}

void Membership::receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox)
{
    impl_->receive(from, message, now, outbox);
}

void Membership::tick(Time now, Outbox<MembershipMessage> &outbox)
{
    impl_->tick(now, outbox);
}

Time Membership::nextTick() const
{
    return impl_->nextTick();
}

void Membership::leave(Time now)
{
    impl_->noteTime(now);
    if (!std::exchange(impl_->leaving, true)) {
        impl_->refute(impl_->incarnation);
        impl_->noticeAt = now;
    }
}

void Membership::depart(Time now, Outbox<MembershipMessage> &outbox)
{
    impl_->noteTime(now);
    if (!std::exchange(impl_->departed, true)) {
        impl_->sendNotices(PeerClaim::Left, outbox);
    }
}

const View &Membership::view() const
{
    return impl_->currentView();
}

std::vector<MembershipNews> Membership::takeNews()
{
    return impl_->table.takeNews();
}

bool Membership::isFresh(Time now) const
{
    return impl_->fresh && now <= impl_->nextTick() + impl_->options.pauseBound;
}

std::uint64_t Membership::incarnation() const
{
    return impl_->incarnation;
}

std::size_t Membership::bytesPerPeer()
{
    return sizeof(std::pair<const HostId, Peer>);
}

} // namespace medlarway
