#include "flows/flow_router.h"

#include "base/hash.h"
#include "flows/flow_router_impl.h"
#include "placement/rendezvous.h"

#include <algorithm>

namespace medlarway
{

namespace
{

/// The unit of FlowEntry::lastUsed: four bytes last for 13 years.
constexpr Duration kCoarseUnit = std::chrono::milliseconds{100};

/// How long a flow is left to a host that has claimed it before it was seen to join.
constexpr Duration kClaimTimeout = std::chrono::seconds{10};

/// How often bounded steps of expiry and of announcements are made.
constexpr Duration kStepInterval = std::chrono::milliseconds{50};

/// The whole table is looked at for idle flows in this many steps.
constexpr std::size_t kExpirySteps = 200;

// True where the view has the member as an owner of flows, in the same incarnation.
bool hasOwner(const View &view, const Member &owner)
{
    return std::any_of(view.members.begin(), view.members.end(), [&owner](const Member &member) {
        return member.id == owner.id && member.incarnation == owner.incarnation && mayOwn(member);
    });
}

// A hash of the owners. It holds their incarnations, so that two hosts agree on
// it only where neither takes a restarted owner for the one before.
std::uint64_t placementOf(const View &view)
{
    std::uint64_t hash = 1;
    for (const auto &member : view.members) {
        if (mayOwn(member)) {
            hash = combineHash(combineHash(hash, member.id.value), member.incarnation);
        }
    }
    return hash;
}

} // namespace

FlowMessage flowMessage(FlowMessageKind kind, const FlowKey &key, HostId holder, const Endpoint &upstream)
{
    FlowMessage message;
    message.kind = kind;
    message.holder = holder;
    message.flows.push_back({key.caller, key.service, upstream});
    return message;
}

FlowRouter::Impl::Impl(HostId selfId, const FlowSettings &routerSettings, Time now)
    : self(selfId)
    , settings(routerSettings)
    , startedAt(now)
    , nextTick(now + kStepInterval)
    , bucketOwners(kBuckets)
    , table(settings.flowLimit)
    , lookups(settings.askTimeout)
    , announcer(self, settings.announcesPerSecond, settings.askTimeout)
{
}

std::uint32_t FlowRouter::Impl::coarse(Time now) const
{
    return static_cast<std::uint32_t>((now - startedAt) / kCoarseUnit);
}

// The moment of last use of an entry that is to expire soon unless it is used:
// the holder isn't a member yet and may never become one.
std::uint32_t FlowRouter::Impl::almostIdle(Time now) const
{
    const auto left = std::min<Duration>(settings.idleTimeout, kClaimTimeout);
    return coarse(now) - static_cast<std::uint32_t>((settings.idleTimeout - left) / kCoarseUnit);
}

// Puts the view that was seen in force. A leaving host takes itself for leaving
// at once, before the news has come back to it.
void FlowRouter::Impl::applyView(Time now)
{
    View view = seen;
    for (auto &member : view.members) {
        if (leaving && member.id == self) {
            member.state = HostState::Leaving;
        }
    }
    for (const auto &member : view.members) {
        if (mayOwn(member) && !hasOwner(generations.current(), member)) {
            announcer.noteStart(member.id);
        }
    }
    generations.removeReplacedBefore(now - settings.settleTime);
    generations.add(view, now);
    bucketOwners.assign(kBuckets, HostId{});
    const auto changed = placementOf(view);
    if (changed != placement) {
        placement = changed;
        settledHosts.clear();
        announcer.restart();
    }
}

// Looks at the next part of the table. Removing an entry moves others into
// its slot, so that slot is looked at again.
void FlowRouter::Impl::expire(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    const auto steps = table.slotCount() / kExpirySteps + 1;
    const auto coarseNow = coarse(now);
    for (std::size_t step = 0; step < steps; ++step) {
        if (expirySlot >= table.slotCount()) {
            expirySlot = 0;
        }
        auto *entry = table.at(expirySlot);
        if (entry == nullptr || !expireEntry(*entry, coarseNow, outbox, decisions)) {
            ++expirySlot;
        }
    }
}

// Removes an entry that is idle; true where it did. What another host holds may
// be in use there without a packet passing here, so the holder is asked first.
bool FlowRouter::Impl::expireEntry(FlowEntry &entry, std::uint32_t now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    const auto idle = static_cast<std::uint32_t>(settings.idleTimeout / kCoarseUnit);
    if (now - entry.lastUsed < idle) {
        return false;
    }
    if (entry.place == FlowPlace::Elsewhere && !entry.checking && generations.isMember(entry.holder)) {
        entry.checking = true;
        entry.lastUsed = now - idle + static_cast<std::uint32_t>(settings.askTimeout * 4 / kCoarseUnit) + 1;
        outbox.push_back({entry.holder, flowMessage(FlowMessageKind::Check, entry.key)});
        return false;
    }
    if (entry.place == FlowPlace::Held) {
        decisions.released.push_back({entry.key.caller, entry.key.service, entry.upstream});
    }
    table.erase(entry);
    return true;
}

void FlowRouter::Impl::setHolder(FlowEntry &entry, HostId holder)
{
    entry.holder = holder;
    entry.holderStart = announcer.startOf(holder);
    entry.told = HostId{};
}

// What is held by a host that isn't a member (yet) is left to expire soon.
void FlowRouter::Impl::noteUse(FlowEntry &entry, Time now) const
{
    const bool isReachable = entry.place == FlowPlace::Held || generations.isMember(entry.holder);
    entry.lastUsed = isReachable ? coarse(now) : almostIdle(now);
}

void FlowRouter::Impl::becomeHolder(FlowEntry &entry)
{
    table.move(entry, FlowPlace::Held);
    setHolder(entry, HostId{});
    entry.checking = false;
}

// The holder is gone or does not hold the flow any more; its upstream is known,
// so this host goes on with the same one.
void FlowRouter::Impl::takeOver(FlowEntry &entry)
{
    becomeHolder(entry);
    if (ownerOfFlow(entry.key) != self) {
        announcer.restart();
    }
}

// Another host holds the flow too and is to keep it.
void FlowRouter::Impl::giveWay(FlowEntry &entry, HostId holder, const Endpoint &upstream, FlowDecisions &decisions)
{
    decisions.released.push_back({entry.key.caller, entry.key.service, entry.upstream});
    table.move(entry, FlowPlace::Elsewhere);
    setHolder(entry, holder);
    entry.upstream = upstream;
}

FlowRouter::FlowRouter(HostId self, const FlowSettings &settings, Time now)
    : impl_(std::make_unique<Impl>(self, settings, now))
{
}

FlowRouter::~FlowRouter() = default;
FlowRouter::FlowRouter(FlowRouter &&) noexcept = default;
FlowRouter &FlowRouter::operator=(FlowRouter &&) noexcept = default;

void FlowRouter::setView(const View &view, Time now)
{
    impl_->seen = view;
    impl_->applyView(now);
}

std::optional<ErrorKind> FlowRouter::bind(const FlowKey &key, const Endpoint &upstream, Time now)
{
    auto *entry = impl_->table.findOrInsert(key, FlowPlace::Held);
    if (entry == nullptr) {
        return ErrorKind::FlowTableFull;
    }
    if (entry->place == FlowPlace::Elsewhere) {
        impl_->table.move(*entry, FlowPlace::Held);
    }
    impl_->setHolder(*entry, HostId{});
    entry->upstream = upstream;
    entry->lastUsed = impl_->coarse(now);
    if (impl_->ownerOfFlow(key) != impl_->self) {
        impl_->announcer.restart();
    }
    return std::nullopt;
}

void FlowRouter::touch(const FlowKey &key, Time now)
{
    if (auto *entry = impl_->table.find(key); entry != nullptr) {
        entry->lastUsed = impl_->coarse(now);
    }
}

// The entry stays without an upstream, so that this host goes on holding the
// flow and owners that were told of it stay right.
void FlowRouter::forget(const FlowKey &key)
{
    auto *entry = impl_->table.find(key);
    if (entry != nullptr && entry->place == FlowPlace::Held) {
        entry->upstream = Endpoint{};
        entry->told = HostId{};
    }
}

void FlowRouter::tick(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    // Step 1. Look-ups whose answers did not come: what wasn't answered counts as not known.
    while (const auto key = impl_->lookups.overdue(now)) {
        impl_->endLookup(*key, HostId{}, Endpoint{}, now, outbox, decisions);
    }
    // Step 2. One step of expiry and of announcements, at most once in the interval.
    if (now < impl_->nextTick) {
        return;
    }
    impl_->nextTick = now + kStepInterval;
    impl_->generations.removeReplacedBefore(now - impl_->settings.settleTime);
    impl_->expire(now, outbox, decisions);
    const auto ownerOfFlow = [this](FlowEntry &entry) {
        if (entry.place == FlowPlace::Elsewhere && isKnown(entry.upstream) && !impl_->generations.isMember(entry.holder)) {
            impl_->becomeHolder(entry);
        }
        return impl_->ownerOfFlow(entry.key).value_or(HostId{});
    };
    impl_->announcer.walk(impl_->table, now, ownerOfFlow, outbox);
}

std::optional<Time> FlowRouter::nextTick() const
{
    return impl_->nextTick;
}

void FlowRouter::beginLeave(Time now)
{
    impl_->leaving = true;
    impl_->applyView(now);
}

bool FlowRouter::handedOver() const
{
    return impl_->leaving && (impl_->announcer.isSettled() || impl_->table.heldCount() == 0);
}

std::size_t FlowRouter::flowsOwned() const
{
    return impl_->table.heldCount();
}

std::size_t FlowRouter::flowsElsewhere() const
{
    return impl_->table.elsewhereCount();
}

std::size_t FlowRouter::tableBytes() const
{
    return impl_->table.bytes();
}

} // namespace medlarway
