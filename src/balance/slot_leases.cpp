#include "balance/slot_leases.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kBorrowRequestLifetime = 150ms; ///< a borrow request expires unless repeated within this time
constexpr Duration kBorrowRequestInterval = 50ms; ///< between two borrow requests of one lane
constexpr Duration kIdleReturnDelay = 5ms; ///< a borrowed slot is returned when idle for this long
constexpr Duration kRelendDelay = 500ms; ///< a slot that could not be used is not lent again for this long
constexpr Duration kRenewInterval = SlotLeases::kLoanDuration / 3;
constexpr Duration kBorrowStartWindow = 60ms; ///< a borrowed slot accepts starts for this long after the borrow request was sent
constexpr Duration kAckInterval = 200ms; ///< between two acknowledgements of a peer's borrow requests
constexpr Duration kSilenceTimeout = 500ms; ///< an owner that sends nothing for this long after a borrow request is silent
constexpr Duration kShedBackoff = 100ms; ///< a slot is not used for this long after the upstream refused a request in it
constexpr std::size_t kMaxPeersPerRequest = 4;

SlotMessage makeMessage(SlotMessageKind kind, const Endpoint &upstream, std::size_t slot, std::uint64_t number, std::uint64_t amount)
{
    return SlotMessage{static_cast<std::uint8_t>(kind), upstream, static_cast<std::uint32_t>(slot), number, amount};
}

std::uint64_t slotRank(HostId host, const Upstream &upstream, std::size_t slot)
{
    const std::uint64_t upstreamKey = (std::uint64_t{upstream.address.address} << 16U) | upstream.address.port;
    return combineHash(combineHash(upstreamKey, slot), host.value);
}

/// The slot that a message refers to; nullptr if this host does not know it.
Slot *findSlot(UpstreamTable &table, const SlotMessage &message)
{
    UpstreamState *state = table.find(message.upstream);
    if (state == nullptr || message.slot >= state->slots.size()) {
        return nullptr;
    }
    return &state->slots[message.slot];
}

} // namespace

// Prefers hosts in the upstream's zone, so that the hosts of a partitioned zone own the slots that they can reach.
HostId slotOwner(const View &view, HostId self, const Upstream &upstream, std::size_t slot)
{
    std::optional<HostId> best;
    bool bestIsInZone = false;
    for (const Member &member : view.members) {
        if (member.state == HostState::Leaving) {
            continue;
        }
        const bool isInZone = member.zone == upstream.zone;
        const bool better = !best || (isInZone && !bestIsInZone)
                            || (isInZone == bestIsInZone && slotRank(member.id, upstream, slot) > slotRank(*best, upstream, slot));
        if (better) {
            best = member.id;
            bestIsInZone = isInZone;
        }
    }
    return best.value_or(self);
}

void SlotLeases::assign(UpstreamTable &table, const View &view, Time now, Outbox<SlotMessage> &outbox)
{
    // Step 1. Collect the peers that can lend. Each host orders them differently, so that not all hosts send their
    // borrow requests to the same peers.
    std::vector<Peer> peers;
    for (const Member &member : view.members) {
        if (member.id != self_ && member.state != HostState::Leaving) {
            const Peer *known = findPeer(member.id);
            peers.push_back(known != nullptr ? *known : Peer{.id = member.id});
        }
    }
    std::sort(peers.begin(), peers.end(), [this](const Peer &first, const Peer &second) {
        return combineHash(self_.value, first.id.value) < combineHash(self_.value, second.id.value);
    });
    peers_ = std::move(peers);

    // Step 2. Recompute the owners. A host that still runs a request in a slot of another owner sends it a Renew.
    for (UpstreamState &state : table.all()) {
        for (std::size_t i = 0; i < state.slots.size(); ++i) {
            Slot &slot = state.slots[i];
            const HostId owner = slotOwner(view, self_, state.upstream, i);
            if (owner == slot.owner) {
                continue;
            }
            slot.owner = owner;
            slot.lentTo.reset();
            slot.lentUntil = owner == self_ ? now + kLoanDuration : Time{};
            if (owner != self_ && slot.busy) {
                slot.borrowedUntil = now;
                slot.renewAt = now + kRenewInterval;
                outbox.push_back({owner, makeMessage(SlotMessageKind::Renew, state.upstream.address, i, 0, 0)});
            }
        }
    }
}

void SlotLeases::receive(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    if (Peer *peer = findPeer(from)) {
        peer->unansweredSince.reset();
        peer->lastReceived = now;
    }
    switch (static_cast<SlotMessageKind>(message.kind)) {
    case SlotMessageKind::BorrowShort:
    case SlotMessageKind::BorrowLong:
        onBorrowRequest(from, message, now, outbox);
        return;
    case SlotMessageKind::Lend:
        onLend(table, from, message, now, outbox);
        return;
    case SlotMessageKind::Return:
        onReturn(table, from, message, now);
        return;
    case SlotMessageKind::Renew:
        onRenew(table, from, message, now);
        return;
    case SlotMessageKind::LoadReport:
        return;
    }
}

SlotLeases::Peer *SlotLeases::findPeer(HostId host)
{
    const auto found = std::find_if(peers_.begin(), peers_.end(), [host](const Peer &peer) { return peer.id == host; });
    return found == peers_.end() ? nullptr : &*found;
}

// A silent owner has failed, is partitioned or is not connected yet. Until a message from it arrives or the view
// changes, this host uses the owner's slots without a loan. A full upstream may shed some of these requests, but none
// waits for an unreachable host.
void SlotLeases::detectSilentOwners(UpstreamTable &table, Time now)
{
    const auto isSilent = [now](const Peer &peer) { return peer.unansweredSince && now - *peer.unansweredSince > kSilenceTimeout; };
    for (UpstreamState &state : table.all()) {
        for (Slot &slot : state.slots) {
            const Peer *owner = findPeer(slot.owner);
            slot.ownerSilent = owner != nullptr && isSilent(*owner);
        }
    }
}

// Keeps one borrow request for each peer and lane: a new one replaces the previous one.
void SlotLeases::onBorrowRequest(HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    Peer *peer = findPeer(from);
    if (peer != nullptr && now >= peer->nextAckAt) {
        peer->nextAckAt = now + kAckInterval;
        outbox.push_back({from, makeMessage(SlotMessageKind::LoadReport, Endpoint{}, 0, 0, 0)});
    }
    constexpr std::uint64_t kMaxTimeLeft = std::chrono::nanoseconds{1h}.count();
    constexpr std::uint32_t kMaxSlotsPerRequest = 1024;
    const bool isLong = message.kind == static_cast<std::uint8_t>(SlotMessageKind::BorrowLong);
    std::erase_if(borrowRequests_, [&](const BorrowRequest &request) {
        return request.expiresAt < now || (request.from == from && request.isLong == isLong);
    });
    borrowRequests_.push_back({.from = from,
                               .isLong = isLong,
                               .latestStart = now + Duration{std::min(message.amount, kMaxTimeLeft)},
                               .count = std::min(message.slot, kMaxSlotsPerRequest),
                               .number = message.number,
                               .expiresAt = now + kBorrowRequestLifetime});
}

// The owner must receive a Renew before the loan expires on its side, even if the request starts just before the loan
// ends. Hence the first one is sent when the loan's time for starts is over.
void SlotLeases::recordStart(Slot &slot, Time now)
{
    slot.busy = true;
    slot.lastUsed = now;
    slot.renewAt = now + kRenewInterval;
    if (slot.borrowedUntil) {
        slot.renewAt = std::min(slot.renewAt, *slot.borrowedUntil);
    } else if (slot.ownerSilent) {
        slot.borrowedUntil = now;
    }
}

// It is unknown how long the other host will use the slot, so for a while this host neither uses nor lends it.
void SlotLeases::recordShed(Slot &slot, Time now)
{
    slot.borrowedUntil = slot.borrowedUntil ? std::optional{now} : std::nullopt;
    slot.lentUntil = std::max(slot.lentUntil, now + kShedBackoff);
    slot.lendableFrom = now + kRelendDelay;
}

// The window for starts is counted from when the borrow request was sent, which is before the owner starts the loan.
// However long the messages take, the window therefore closes before the owner's loan expires. It is short, so that a
// host does not keep a slot while a peer has more urgent requests.
void SlotLeases::onLend(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    const SentRequest &sent = sentRequests_[message.number % sentRequests_.size()];
    UpstreamState *state = table.find(message.upstream);
    Slot *slot = findSlot(table, message);
    if (slot == nullptr || slot->owner != from) {
        return;
    }
    const bool known = sent.number == message.number && message.number != 0;
    const bool late = !known || now >= sent.at + kBorrowStartWindow;
    const bool unusable = !acceptsRequests(*state, now);
    if (!slot->busy && (late || unusable)) {
        returnSlot(*state, message.slot, unusable, outbox);
        return;
    }
    if (known) {
        slot->borrowedUntil = sent.at + kBorrowStartWindow;
        slot->lastUsed = now;
    }
}

void SlotLeases::onReturn(UpstreamTable &table, HostId from, const SlotMessage &message, Time now)
{
    Slot *slot = findSlot(table, message);
    if (slot == nullptr || slot->lentTo != from) {
        return;
    }
    slot->lentTo.reset();
    slot->lentUntil = now;
    if (message.number != 0) {
        slot->lendableFrom = now + kRelendDelay;
    }
    constexpr std::uint64_t kMaxBusyTime = std::chrono::nanoseconds{1h}.count();
    addBusyTime(*table.find(message.upstream), Duration{std::min(message.amount, kMaxBusyTime)}, now);
}

// If this host has meanwhile lent the slot to another peer, that loan stays valid. Both peers then use the slot, and
// the upstream may shed one of the requests.
void SlotLeases::onRenew(UpstreamTable &table, HostId from, const SlotMessage &message, Time now) const
{
    Slot *slot = findSlot(table, message);
    if (slot == nullptr || slot->owner != self_ || (slot->lentTo && slot->lentTo != from)) {
        return;
    }
    slot->lentTo = from;
    slot->lentUntil = now + kLoanDuration;
}

const BorrowRequest *SlotLeases::mostUrgentRequest(bool isLong, Time now) const
{
    const BorrowRequest *first = nullptr;
    for (const BorrowRequest &request : borrowRequests_) {
        if (request.isLong != isLong || request.expiresAt < now || request.count == 0) {
            continue;
        }
        if (first == nullptr || request.latestStart < first->latestStart) {
            first = &request;
        }
    }
    return first;
}

bool SlotLeases::lend(UpstreamTable &table, const ChoiceContext &context, bool isLong, Time now, Outbox<SlotMessage> &outbox)
{
    const BorrowRequest *first = mostUrgentRequest(isLong, now);
    if (first == nullptr) {
        return false;
    }
    std::optional<SlotIndex> best;
    for (std::size_t i = 0; i < table.all().size(); ++i) {
        const UpstreamState &state = table.all()[i];
        const std::optional<std::size_t> slot = lendableSlot(state, context, isLong, now);
        if (slot && (!best || choiceCost(state, context, now) < choiceCost(table.all()[best->upstream], context, now))) {
            best = SlotIndex{i, *slot};
        }
    }
    if (!best) {
        return false;
    }
    UpstreamState &state = table.all()[best->upstream];
    state.slots[best->slot].lentTo = first->from;
    state.slots[best->slot].lentUntil = now + kLoanDuration;
    outbox.push_back({first->from, makeMessage(SlotMessageKind::Lend, state.upstream.address, best->slot, first->number, 0)});
    --borrowRequests_[static_cast<std::size_t>(first - borrowRequests_.data())].count;
    return true;
}

// Divides the number of waiting requests among the peers that get a borrow request, since a slot lent without need
// stays idle for a round trip. Few waiting requests go to few peers; the next borrow request goes to the following
// peers.
void SlotLeases::requestSlots(bool isLong, std::size_t count, Time latestStart, Time now, Outbox<SlotMessage> &outbox)
{
    Time &nextRequestAt = nextRequestAt_[isLong ? 1 : 0];
    if (peers_.empty() || now < nextRequestAt || count == 0) {
        return;
    }
    nextRequestAt = now + kBorrowRequestInterval;
    const std::uint64_t number = ++lastNumber_;
    sentRequests_[number % sentRequests_.size()] = {number, now};
    const auto timeLeft = static_cast<std::uint64_t>(std::max(latestStart - now, Duration{0}).count());
    const SlotMessageKind kind = isLong ? SlotMessageKind::BorrowLong : SlotMessageKind::BorrowShort;
    const std::size_t peerCount = std::min({peers_.size(), count, kMaxPeersPerRequest});
    const SlotMessage message = makeMessage(kind, Endpoint{}, (count + peerCount - 1) / peerCount, number, timeLeft);
    for (std::size_t i = 0; i < peerCount; ++i) {
        Peer &peer = peers_[(nextPeer_ + i) % peers_.size()];
        if (!peer.unansweredSince && (!peer.lastReceived || now - *peer.lastReceived > kAckInterval * 3 / 2)) {
            peer.unansweredSince = now;
        }
        outbox.push_back({peer.id, message});
    }
    nextPeer_ += peerCount;
}

void SlotLeases::maintainLoans(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox)
{
    detectSilentOwners(table, now);
    std::erase_if(borrowRequests_, [now](const BorrowRequest &request) { return request.expiresAt < now || request.count == 0; });
    for (UpstreamState &state : table.all()) {
        for (std::size_t i = 0; i < state.slots.size(); ++i) {
            Slot &slot = state.slots[i];
            if (slot.lentTo && now >= slot.lentUntil) {
                slot.lentTo.reset();
            }
            if (!slot.borrowedUntil) {
                continue;
            }
            if (slot.busy && now >= slot.renewAt) {
                slot.renewAt = now + kRenewInterval;
                outbox.push_back({slot.owner, makeMessage(SlotMessageKind::Renew, state.upstream.address, i, 0, 0)});
            }
            if (!slot.busy && (now >= *slot.borrowedUntil || now >= slot.lastUsed + kIdleReturnDelay)) {
                returnSlot(state, i, false, outbox);
            }
        }
    }
}

bool SlotLeases::hasLoans(const UpstreamTable &table) const
{
    const auto borrowed = [](const Slot &slot) { return slot.borrowedUntil.has_value(); };
    return !borrowRequests_.empty() || std::any_of(table.all().begin(), table.all().end(), [&borrowed](const UpstreamState &state) {
        return std::any_of(state.slots.begin(), state.slots.end(), borrowed);
    });
}

void SlotLeases::returnSlot(UpstreamState &state, std::size_t slot, bool unusable, Outbox<SlotMessage> &outbox) const
{
    Slot &returned = state.slots[slot];
    returned.borrowedUntil.reset();
    if (returned.owner == self_) {
        return;
    }
    const auto busy = static_cast<std::uint64_t>(returned.loanBusyTime.count());
    outbox.push_back({returned.owner, makeMessage(SlotMessageKind::Return, state.upstream.address, slot, unusable ? 1 : 0, busy)});
    returned.loanBusyTime = Duration{0};
}

} // namespace medlarway
