#include "membership/membership.h"

#include "membership/membership_impl.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace medlarway
{

namespace
{

// Limits the load on a host when the whole fleet restarts.
constexpr std::uint32_t kMaxSyncRepliesPerInterval = 4;

// While many updates are queued, as after the loss of a zone, a message carries the queue's size divided by
// kBacklogDivisor, up to kMaxBacklogFactor times the usual number.
constexpr std::uint32_t kBacklogDivisor = 8;
constexpr std::uint32_t kMaxBacklogFactor = 4;

// A rejoining host triggers a full sync with it if more than 1/kPartitionDivisor of the peers are absent:
// a network partition has healed, and gossip alone would take minutes to converge.
constexpr std::size_t kPartitionDivisor = 8;
constexpr Duration kMinRejoinSyncGap = std::chrono::seconds{30};

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
    queue.put(MembershipUpdate{options.self, incarnation, MembershipUpdateKind::Alive, selfLeaving()});
    viewStale = true;
}

// The factor times log2 of the number of hosts: gossip takes O(log n) rounds to reach the whole fleet.
std::uint32_t Membership::Impl::gossipRounds(std::uint32_t factor) const
{
    return factor * static_cast<std::uint32_t>(std::bit_width(table.memberCount() + 1));
}

Duration Membership::Impl::suspicionTimeout() const
{
    return options.probeInterval * gossipRounds(options.suspicionFactor);
}

// Announces a higher incarnation. Refutes reports that this host is suspect or has left, and reports of an
// incarnation above its own, which occur when the wall clock was set back across a restart.
void Membership::Impl::refute(std::uint64_t claimedIncarnation)
{
    if (departed) {
        return;
    }
    incarnation = std::max(incarnation, claimedIncarnation) + 1;
    announceSelf();
}

void Membership::Impl::applyUpdate(const MembershipUpdate &update, Time now, bool disseminate)
{
    if (update.host == options.self) {
        const bool contradictsSelf = update.kind != MembershipUpdateKind::Alive || update.incarnation > incarnation;
        if (contradictsSelf && update.incarnation >= incarnation) {
            refute(update.incarnation);
        }
        return;
    }
    const auto *peer = table.find(update.host);
    const bool wasMember = peer != nullptr && peer->isMember();
    if (!table.apply(update, now, suspicionTimeout())) {
        return;
    }
    if (disseminate) {
        queue.put(update);
    }
    if (!wasMember) {
        memberOrder.insert(update.host, random);
    }
}

// Fills in what every message carries: the sender's own state, a Suspect update about the receiver
// if it has to refute something, and queued updates.
MembershipMessage Membership::Impl::compose(MembershipMessageKind kind, HostId to, bool promptRefutation)
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
    // A suspect or removed host learns its status from this update and refutes it.
    const bool unresponsive = peer->isSuspect() || !peer->isMember();
    if (promptRefutation || (unresponsive && peer->machine.incarnation > 0)) {
        message.updates.push_back(MembershipUpdate{to, peer->machine.incarnation, MembershipUpdateKind::Suspect, false});
    }
    // Updates are sent a bounded number of times: don't spend any on a host that does not respond.
    if (!unresponsive) {
        const auto waiting = static_cast<std::uint32_t>(queue.size()) / kBacklogDivisor;
        const auto limit = std::clamp(waiting, options.updatesPerMessage, options.updatesPerMessage * kMaxBacklogFactor);
        queue.take(limit, gossipRounds(options.retransmitFactor), message.updates);
    }
    return message;
}

void Membership::Impl::receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox)
{
    observeTime(now);
    if (departed || from == options.self) {
        return;
    }
    // Step 1. Acknowledge direct probes of a host that was never listed, so that it doesn't suspect this host
    // while the list is out of date, but ignore the contents of its messages.
    const auto *peer = table.find(from);
    if (peer == nullptr) {
        if (message.kind == MembershipMessageKind::Probe && message.origin == HostId{}) {
            auto reply = compose(MembershipMessageKind::Ack, from, false);
            reply.sequence = message.sequence;
            outbox.push_back({from, std::move(reply)});
        }
        return;
    }
    // Step 2. The message itself proves that the sender is alive, in this incarnation.
    const bool wasAbsent = !peer->isMember();
    applyUpdate(MembershipUpdate{from, message.incarnation, MembershipUpdateKind::Alive, message.leaving}, now);
    acknowledgeProbe(from);
    // Don't disseminate what a joining host learns from a sync: the other hosts already know it.
    const bool disseminate = fresh || message.kind != MembershipMessageKind::SyncReply;
    for (const auto &update : message.updates) {
        applyUpdate(update, now, disseminate);
    }
    // Step 3. Respond. If the sender's incarnation is outdated, the response prompts it to refute.
    peer = table.find(from);
    if (peer == nullptr) {
        return;
    }
    const bool senderOutdated = message.incarnation < peer->machine.incarnation;
    respond(from, message, senderOutdated, outbox);
    if (message.kind == MembershipMessageKind::SyncReply) {
        onSyncReply(from, message, now);
    }
    // Step 4. A host that rejoins while many are absent indicates a healed partition: sync with its whole list.
    const auto absent = table.peers().size() - table.memberCount();
    if (wasAbsent && peer->isMember() && !sync && absent * kPartitionDivisor > table.peers().size()
        && now >= lastRejoinSync + kMinRejoinSyncGap) {
        lastRejoinSync = now;
        startFullSync(now);
        sync->peer = from;
    }
}

// Any message from the probed host counts as an acknowledgement: it is alive and reaches this host.
void Membership::Impl::acknowledgeProbe(HostId host)
{
    if (probe && probe->target == host) {
        probe->acknowledged = true;
    }
}

void Membership::Impl::respond(HostId from, const MembershipMessage &message, bool promptRefutation, Outbox<MembershipMessage> &outbox)
{
    switch (message.kind) {
    case MembershipMessageKind::Probe: {
        auto reply = compose(MembershipMessageKind::Ack, from, promptRefutation);
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
        relayed.updates.push_back(MembershipUpdate{from, message.incarnation, MembershipUpdateKind::Alive, message.leaving});
        outbox.push_back({message.origin, std::move(relayed)});
        break;
    }
    case MembershipMessageKind::RelayedAck:
        if (probe && probe->sequence == message.sequence && probe->target == message.target) {
            probe->acknowledged = true;
        }
        break;
    case MembershipMessageKind::Sync: {
        if (syncReplies >= kMaxSyncRepliesPerInterval) {
            break;
        }
        ++syncReplies;
        auto reply = compose(MembershipMessageKind::SyncReply, from, promptRefutation);
        reply.updates.resize(std::min<std::size_t>(reply.updates.size(), promptRefutation ? 1 : 0));
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

// Appends the members whose ids are greater than `after`, up to kMaxSyncUpdates of them.
// Returns the id of the last one, or 0 at the end of the list.
HostId Membership::Impl::appendMembers(HostId after, std::vector<MembershipUpdate> &updates) const
{
    const auto &peers = table.peers();
    std::size_t added = 0;
    for (auto entry = peers.upper_bound(after); entry != peers.end(); ++entry) {
        const auto &peer = entry->second;
        if (!peer.isMember()) {
            continue;
        }
        if (added == kMaxSyncUpdates) {
            return updates.back().host;
        }
        const auto kind = peer.isSuspect() ? MembershipUpdateKind::Suspect : MembershipUpdateKind::Alive;
        updates.push_back(MembershipUpdate{entry->first, peer.machine.incarnation, kind, peer.machine.state == PeerState::Leaving});
        ++added;
    }
    return HostId{};
}

// A full sync in which every chunk came from a host with a fresh view confirms this host's view.
void Membership::Impl::onSyncReply(HostId from, const MembershipMessage &message, Time now)
{
    if (!sync || sync->sequence != message.sequence || sync->peer != from) {
        return;
    }
    sync->waiting = false;
    if (!sync->full) {
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
        startFullSync(now);
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
    const Member self{options.self, options.zone, selfLeaving() ? HostState::Leaving : HostState::Alive, incarnation};
    bool selfAdded = false;
    for (const auto &[id, peer] : table.peers()) {
        if (!selfAdded && options.self < id) {
            view.members.push_back(self);
            selfAdded = true;
        }
        if (!peer.isMember()) {
            continue;
        }
        const auto state = peer.isLeaving() ? HostState::Leaving : (peer.isSuspect() ? HostState::Suspect : HostState::Alive);
        view.members.push_back(Member{id, peer.zone, state, peer.machine.incarnation});
    }
    if (!selfAdded) {
        view.members.push_back(self);
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
    impl_->observeTime(now);
    const bool wasLeaving = impl_->selfLeaving();
    impl_->table.setListed(hosts);
    if (impl_->selfLeaving() != wasLeaving) {
        impl_->refute(impl_->incarnation);
    }
    if (!impl_->fresh && !impl_->sync) {
        impl_->startFullSync(now);
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
    impl_->observeTime(now);
    if (!std::exchange(impl_->leaving, true)) {
        impl_->refute(impl_->incarnation);
        impl_->noticeDueAt = now;
    }
}

void Membership::depart(Time now, Outbox<MembershipMessage> &outbox)
{
    impl_->observeTime(now);
    if (!std::exchange(impl_->departed, true)) {
        impl_->sendNotices(MembershipUpdateKind::Left, outbox);
    }
}

const View &Membership::view() const
{
    return impl_->currentView();
}

std::vector<MembershipEvent> Membership::takeEvents()
{
    return impl_->table.takeEvents();
}

bool Membership::isFresh(Time now) const
{
    return impl_->fresh && now <= impl_->nextTick() + impl_->options.maxTickDelay;
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
