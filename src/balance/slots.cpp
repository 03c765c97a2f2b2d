#include "balance/slots.h"

#include "base/hash.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

namespace
{

using namespace std::chrono_literals;

constexpr Duration kWantLife = 150ms; ///< a want not repeated is forgotten
constexpr Duration kAskPeriod = 50ms; ///< between two wants of one lane
constexpr Duration kKeepIdle = 5ms; ///< a borrowed slot without work is returned after
constexpr Duration kUselessSpan = 500ms; ///< a slot that a peer could not use is not lent again for
constexpr Duration kHoldPeriod = SlotShares::kLoan / 3;
constexpr Duration kStartSpan = 60ms; ///< after the want was sent, in which requests may start in a slot lent for it
constexpr Duration kSignPeriod = 200ms; ///< between two signs to a peer that asks
constexpr Duration kSilence = 500ms; ///< after which an owner that gives no sign is passed over
constexpr Duration kShedSpan = 100ms; ///< that a slot is left alone after the upstream refused a request in it
constexpr std::size_t kAskedPeers = 4;

SlotMessage messageOf(SlotMessageKind kind, const Endpoint &upstream, std::size_t slot, std::uint64_t number, std::uint64_t amount)
{
    return SlotMessage{static_cast<std::uint8_t>(kind), upstream, static_cast<std::uint32_t>(slot), number, amount};
}

std::uint64_t slotRank(HostId host, const Upstream &upstream, std::size_t slot)
{
    const std::uint64_t place = (std::uint64_t{upstream.address.address} << 16U) | upstream.address.port;
    return combineHash(combineHash(place, slot), host.value);
}

/// The slot that a message names; nullptr where it is not known here.
Slot *slotOf(UpstreamTable &table, const SlotMessage &message)
{
    UpstreamState *state = table.find(message.upstream);
    if (state == nullptr || message.slot >= state->slots.size()) {
        return nullptr;
    }
    return &state->slots[message.slot];
}

} // namespace

// Hosts of the upstream's own zone come first, so that a zone that is cut off owns what it can reach.
HostId slotOwner(const View &view, HostId self, const Upstream &upstream, std::size_t slot)
{
    std::optional<HostId> best;
    bool bestIsNear = false;
    for (const Member &member : view.members) {
        if (member.state == HostState::Leaving) {
            continue;
        }
        const bool isNear = member.zone == upstream.zone;
        const bool better = !best || (isNear && !bestIsNear)
                            || (isNear == bestIsNear && slotRank(member.id, upstream, slot) > slotRank(*best, upstream, slot));
        if (better) {
            best = member.id;
            bestIsNear = isNear;
        }
    }
    return best.value_or(self);
}

void SlotShares::assign(UpstreamTable &table, const View &view, Time now, Outbox<SlotMessage> &outbox)
{
    // Step 1. The peers that can be asked; the order is each host's own, so that not all ask the same.
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

    // Step 2. The owners. What others still run in a slot they tell by Hold.
    for (UpstreamState &state : table.all()) {
        for (std::size_t i = 0; i < state.slots.size(); ++i) {
            Slot &slot = state.slots[i];
            const HostId owner = slotOwner(view, self_, state.upstream, i);
            if (owner == slot.owner) {
                continue;
            }
            slot.owner = owner;
            slot.lentTo.reset();
            slot.lentUntil = owner == self_ ? now + kLoan : Time{};
            if (owner != self_ && slot.busy) {
                slot.borrowedUntil = now;
                slot.holdAt = now + kHoldPeriod;
                outbox.push_back({owner, messageOf(SlotMessageKind::Hold, state.upstream.address, i, 0, 0)});
            }
        }
    }
}

void SlotShares::receive(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    if (Peer *peer = findPeer(from)) {
        peer->askedSince.reset();
        peer->heardAt = now;
    }
    switch (static_cast<SlotMessageKind>(message.kind)) {
    case SlotMessageKind::WantShort:
    case SlotMessageKind::WantLong:
        takeWant(from, message, now, outbox);
        return;
    case SlotMessageKind::Lend:
        takeLoan(table, from, message, now, outbox);
        return;
    case SlotMessageKind::Return:
        takeReturn(table, from, message, now);
        return;
    case SlotMessageKind::Hold:
        takeHold(table, from, message, now);
        return;
    case SlotMessageKind::Count:
        return;
    }
}

SlotShares::Peer *SlotShares::findPeer(HostId host)
{
    const auto found = std::find_if(peers_.begin(), peers_.end(), [host](const Peer &peer) { return peer.id == host; });
    return found == peers_.end() ? nullptr : &*found;
}

// An owner that gives no sign for a while is dead, cut off or not reached yet. Its slots are used
// by own counts until it is heard of or the view changes: some requests are shed by a full
// upstream, but none waits for a host that is not there.
void SlotShares::noteSilence(UpstreamTable &table, Time now)
{
    const auto isSilent = [now](const Peer &peer) { return peer.askedSince && now - *peer.askedSince > kSilence; };
    for (UpstreamState &state : table.all()) {
        for (Slot &slot : state.slots) {
            const Peer *owner = findPeer(slot.owner);
            slot.ownerSilent = owner != nullptr && isSilent(*owner);
        }
    }
}

// A peer has one want for each lane; a later one replaces it.
void SlotShares::takeWant(HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    Peer *peer = findPeer(from);
    if (peer != nullptr && now >= peer->signAgain) {
        peer->signAgain = now + kSignPeriod;
        outbox.push_back({from, messageOf(SlotMessageKind::Count, Endpoint{}, 0, 0, 0)});
    }
    constexpr std::uint64_t kFarthest = std::chrono::nanoseconds{1h}.count();
    constexpr std::uint32_t kMostWanted = 1024;
    const bool isLong = message.kind == static_cast<std::uint8_t>(SlotMessageKind::WantLong);
    std::erase_if(wants_, [&](const SlotWant &want) { return want.until < now || (want.from == from && want.isLong == isLong); });
    wants_.push_back({.from = from,
                      .isLong = isLong,
                      .latestStart = now + Duration{std::min(message.amount, kFarthest)},
                      .count = std::min(message.slot, kMostWanted),
                      .number = message.number,
                      .until = now + kWantLife});
}

// A Hold must reach the owner before its count ends, also where the request starts as the loan ends.
void SlotShares::noteStart(Slot &slot, Time now)
{
    slot.busy = true;
    slot.usedAt = now;
    slot.holdAt = now + kHoldPeriod;
    if (slot.borrowedUntil) {
        slot.holdAt = std::min(slot.holdAt, *slot.borrowedUntil);
    } else if (slot.ownerSilent) {
        slot.borrowedUntil = now;
    }
}

// The other's use is not known here, so the slot is left alone for a while, and nobody gets it lent.
void SlotShares::noteShed(Slot &slot, Time now)
{
    slot.borrowedUntil = slot.borrowedUntil ? std::optional{now} : std::nullopt;
    slot.lentUntil = std::max(slot.lentUntil, now + kShedSpan);
    slot.notLentBefore = now + kUselessSpan;
}

// The span for starts runs from the moment the want was sent, which was before the owner began to
// count: however long the messages took, it ends here before the loan ends there. It is short, so
// that a host which got slots first does not keep them while a peer's requests are more urgent.
void SlotShares::takeLoan(UpstreamTable &table, HostId from, const SlotMessage &message, Time now, Outbox<SlotMessage> &outbox)
{
    const Asked &asked = asked_[message.number % asked_.size()];
    UpstreamState *state = table.find(message.upstream);
    Slot *slot = slotOf(table, message);
    if (slot == nullptr || slot->owner != from) {
        return;
    }
    const bool known = asked.number == message.number && message.number != 0;
    const bool late = !known || now >= asked.at + kStartSpan;
    const bool useless = !takesWork(*state, now);
    if (!slot->busy && (late || useless)) {
        giveBack(*state, message.slot, useless, outbox);
        return;
    }
    if (known) {
        slot->borrowedUntil = asked.at + kStartSpan;
        slot->usedAt = now;
    }
}

void SlotShares::takeReturn(UpstreamTable &table, HostId from, const SlotMessage &message, Time now)
{
    Slot *slot = slotOf(table, message);
    if (slot == nullptr || slot->lentTo != from) {
        return;
    }
    slot->lentTo.reset();
    slot->lentUntil = now;
    if (message.number != 0) {
        slot->notLentBefore = now + kUselessSpan;
    }
    constexpr std::uint64_t kMostBusy = std::chrono::nanoseconds{1h}.count();
    noteBusy(*table.find(message.upstream), Duration{std::min(message.amount, kMostBusy)}, now);
}

// Where this host has lent the slot to another meanwhile, that loan stands: both run, and the
// upstream sheds one of them.
void SlotShares::takeHold(UpstreamTable &table, HostId from, const SlotMessage &message, Time now) const
{
    Slot *slot = slotOf(table, message);
    if (slot == nullptr || slot->owner != self_ || (slot->lentTo && slot->lentTo != from)) {
        return;
    }
    slot->lentTo = from;
    slot->lentUntil = now + kLoan;
}

const SlotWant *SlotShares::firstWant(bool isLong, Time now) const
{
    const SlotWant *first = nullptr;
    for (const SlotWant &want : wants_) {
        if (want.isLong != isLong || want.until < now || want.count == 0) {
            continue;
        }
        if (first == nullptr || want.latestStart < first->latestStart) {
            first = &want;
        }
    }
    return first;
}

bool SlotShares::lend(UpstreamTable &table, const ChoiceRules &rules, bool isLong, Time now, Outbox<SlotMessage> &outbox)
{
    const SlotWant *first = firstWant(isLong, now);
    if (first == nullptr) {
        return false;
    }
    std::optional<SlotPlace> best;
    for (std::size_t i = 0; i < table.all().size(); ++i) {
        const UpstreamState &state = table.all()[i];
        const std::optional<std::size_t> slot = lendableSlot(state, rules, isLong, now);
        if (slot && (!best || choiceCost(state, rules, now) < choiceCost(table.all()[best->upstream], rules, now))) {
            best = SlotPlace{i, *slot};
        }
    }
    if (!best) {
        return false;
    }
    UpstreamState &state = table.all()[best->upstream];
    state.slots[best->slot].lentTo = first->from;
    state.slots[best->slot].lentUntil = now + kLoan;
    outbox.push_back({first->from, messageOf(SlotMessageKind::Lend, state.upstream.address, best->slot, first->number, 0)});
    --wants_[static_cast<std::size_t>(first - wants_.data())].count;
    return true;
}

// Asks for no more slots in all than requests wait, since a slot lent in vain stands idle for a
// message's way there and back. A few requests ask a few peers; the next time it is others' turn.
void SlotShares::ask(bool isLong, std::size_t count, Time latestStart, Time now, Outbox<SlotMessage> &outbox)
{
    Time &again = askAgain_[isLong ? 1 : 0];
    if (peers_.empty() || now < again || count == 0) {
        return;
    }
    again = now + kAskPeriod;
    const std::uint64_t number = ++lastNumber_;
    asked_[number % asked_.size()] = {number, now};
    const auto left = static_cast<std::uint64_t>(std::max(latestStart - now, Duration{0}).count());
    const SlotMessageKind kind = isLong ? SlotMessageKind::WantLong : SlotMessageKind::WantShort;
    const std::size_t asked = std::min({peers_.size(), count, kAskedPeers});
    const SlotMessage message = messageOf(kind, Endpoint{}, (count + asked - 1) / asked, number, left);
    for (std::size_t i = 0; i < asked; ++i) {
        Peer &peer = peers_[(turn_ + i) % peers_.size()];
        if (!peer.askedSince && (!peer.heardAt || now - *peer.heardAt > kSignPeriod * 3 / 2)) {
            peer.askedSince = now;
        }
        outbox.push_back({peer.id, message});
    }
    turn_ += asked;
}

void SlotShares::upkeep(UpstreamTable &table, Time now, Outbox<SlotMessage> &outbox)
{
    noteSilence(table, now);
    std::erase_if(wants_, [now](const SlotWant &want) { return want.until < now || want.count == 0; });
    for (UpstreamState &state : table.all()) {
        for (std::size_t i = 0; i < state.slots.size(); ++i) {
            Slot &slot = state.slots[i];
            if (slot.lentTo && now >= slot.lentUntil) {
                slot.lentTo.reset();
            }
            if (!slot.borrowedUntil) {
                continue;
            }
            if (slot.busy && now >= slot.holdAt) {
                slot.holdAt = now + kHoldPeriod;
                outbox.push_back({slot.owner, messageOf(SlotMessageKind::Hold, state.upstream.address, i, 0, 0)});
            }
            if (!slot.busy && (now >= *slot.borrowedUntil || now >= slot.usedAt + kKeepIdle)) {
                giveBack(state, i, false, outbox);
            }
        }
    }
}

bool SlotShares::hasLoans(const UpstreamTable &table) const
{
    const auto borrowed = [](const Slot &slot) { return slot.borrowedUntil.has_value(); };
    return !wants_.empty() || std::any_of(table.all().begin(), table.all().end(), [&borrowed](const UpstreamState &state) {
        return std::any_of(state.slots.begin(), state.slots.end(), borrowed);
    });
}

void SlotShares::giveBack(UpstreamState &state, std::size_t slot, bool useless, Outbox<SlotMessage> &outbox) const
{
    Slot &lent = state.slots[slot];
    lent.borrowedUntil.reset();
    if (lent.owner == self_) {
        return;
    }
    const auto busy = static_cast<std::uint64_t>(lent.loanBusy.count());
    outbox.push_back({lent.owner, messageOf(SlotMessageKind::Return, state.upstream.address, slot, useless ? 1 : 0, busy)});
    lent.loanBusy = Duration{0};
}

} // namespace medlarway
