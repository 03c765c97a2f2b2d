#include "flows/flow_router.h"

#include "base/hash.h"
#include "flows/flow_router_impl.h"
#include "placement/rendezvous.h"

#include <algorithm>

namespace medlarway
{

namespace
{

/// The unit of FlowEntry::lastUsed. In 32 bits it overflows after 13 years.
constexpr Duration kCoarseTimeUnit = std::chrono::milliseconds{100};

/// How long an entry is kept whose holder is not a member of the view (yet).
constexpr Duration kAbsentHolderTimeout = std::chrono::seconds{10};

/// Time between two steps of expiry and announcement; each step does a bounded amount of work.
constexpr Duration kStepInterval = std::chrono::milliseconds{50};

/// Number of steps in which the whole table is scanned for idle flows.
constexpr std::size_t kExpirySteps = 200;

// True if the member may own flows in the view and has the same incarnation there.
bool hasOwner(const View &view, const Member &owner)
{
    return std::any_of(view.members.begin(), view.members.end(), [&owner](const Member &member) {
        return member.id == owner.id && member.incarnation == owner.incarnation && mayOwn(member);
    });
}

// Hashes the hosts that may own flows. Incarnations are included, so that two hosts compute the same
// hash only if both have seen the same restarts of the owners.
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

FlowMessage makeFlowMessage(FlowMessageKind kind, const FlowKey &key, HostId holder, const Endpoint &upstream)
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
    , lookups(settings.queryTimeout)
    , announcer(self, settings.announcesPerSecond, settings.queryTimeout)
{
}

std::uint32_t FlowRouter::Impl::toCoarse(Time now) const
{
    return static_cast<std::uint32_t>((now - startedAt) / kCoarseTimeUnit);
}

// Returns a last-used time that makes an entry expire after kAbsentHolderTimeout unless it is used: its holder
// is not a member yet and may never become one.
std::uint32_t FlowRouter::Impl::nearlyIdle(Time now) const
{
    const auto left = std::min<Duration>(settings.idleTimeout, kAbsentHolderTimeout);
    return toCoarse(now) - static_cast<std::uint32_t>((settings.idleTimeout - left) / kCoarseTimeUnit);
}

// Applies the received view. A leaving host marks itself as leaving at once, since the view shows that
// only after the membership protocol has reported it back.
void FlowRouter::Impl::applyView(Time now)
{
    View view = receivedView;
    for (auto &member : view.members) {
        if (leaving && member.id == self) {
            member.state = HostState::Leaving;
        }
    }
    for (const auto &member : view.members) {
        if (mayOwn(member) && !hasOwner(generations.current(), member)) {
            announcer.countStart(member.id);
        }
    }
    generations.removeReplacedBefore(now - settings.settleTime);
    generations.add(view, now);
    bucketOwners.assign(kBuckets, HostId{});
    const auto newPlacement = placementOf(view);
    if (newPlacement != placement) {
        placement = newPlacement;
        fullyAnnouncedHosts.clear();
        announcer.restart();
    }
}

// Scans the next part of the table for idle entries. Erasing an entry may move another one into its slot,
// so the slot is then visited again.
void FlowRouter::Impl::expire(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    const auto slotsPerStep = table.slotCount() / kExpirySteps + 1;
    const auto nowCoarse = toCoarse(now);
    for (std::size_t visited = 0; visited < slotsPerStep; ++visited) {
        if (expirySlot >= table.slotCount()) {
            expirySlot = 0;
        }
        auto *entry = table.at(expirySlot);
        if (entry == nullptr || !expireEntry(*entry, nowCoarse, outbox, decisions)) {
            ++expirySlot;
        }
    }
}

// Erases the entry if it is idle; returns true if it did. A flow held by another host may be in use there
// without any packet passing through this one, so the holder is queried first.
bool FlowRouter::Impl::expireEntry(FlowEntry &entry, std::uint32_t now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    const auto idle = static_cast<std::uint32_t>(settings.idleTimeout / kCoarseTimeUnit);
    if (now - entry.lastUsed < idle) {
        return false;
    }
    if (entry.location == FlowLocation::Remote && !entry.queryPending && generations.isMember(entry.holder)) {
        entry.queryPending = true;
        entry.lastUsed = now - idle + static_cast<std::uint32_t>(settings.queryTimeout * 4 / kCoarseTimeUnit) + 1;
        outbox.push_back({entry.holder, makeFlowMessage(FlowMessageKind::Query, entry.key)});
        return false;
    }
    if (entry.location == FlowLocation::Local) {
        decisions.released.push_back({entry.key.caller, entry.key.service, entry.upstream});
    }
    table.erase(entry);
    return true;
}

void FlowRouter::Impl::setHolder(FlowEntry &entry, HostId holder)
{
    entry.holder = holder;
    entry.holderStart = announcer.startCount(holder);
    entry.announcedTo = HostId{};
}

// Updates the last-used time. An entry whose holder is not a member (yet) expires early.
void FlowRouter::Impl::noteUse(FlowEntry &entry, Time now) const
{
    const bool isReachable = entry.location == FlowLocation::Local || generations.isMember(entry.holder);
    entry.lastUsed = isReachable ? toCoarse(now) : nearlyIdle(now);
}

void FlowRouter::Impl::becomeHolder(FlowEntry &entry)
{
    table.move(entry, FlowLocation::Local);
    setHolder(entry, HostId{});
    entry.queryPending = false;
}

// Makes this host the holder, with the upstream in the entry: the previous holder has left the view or
// does not hold the flow any more.
void FlowRouter::Impl::takeOver(FlowEntry &entry)
{
    becomeHolder(entry);
    if (ownerOfFlow(entry.key) != self) {
        announcer.restart();
    }
}

// Releases a flow that another host also holds, and records that host as the holder.
void FlowRouter::Impl::yieldTo(FlowEntry &entry, HostId holder, const Endpoint &upstream, FlowDecisions &decisions)
{
    decisions.released.push_back({entry.key.caller, entry.key.service, entry.upstream});
    table.move(entry, FlowLocation::Remote);
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
    impl_->receivedView = view;
    impl_->applyView(now);
}

std::optional<ErrorKind> FlowRouter::bind(const FlowKey &key, const Endpoint &upstream, Time now)
{
    auto *entry = impl_->table.findOrInsert(key, FlowLocation::Local);
    if (entry == nullptr) {
        return ErrorKind::FlowTableFull;
    }
    if (entry->location == FlowLocation::Remote) {
        impl_->table.move(*entry, FlowLocation::Local);
    }
    impl_->setHolder(*entry, HostId{});
    entry->upstream = upstream;
    entry->lastUsed = impl_->toCoarse(now);
    if (impl_->ownerOfFlow(key) != impl_->self) {
        impl_->announcer.restart();
    }
    return std::nullopt;
}

void FlowRouter::touch(const FlowKey &key, Time now)
{
    if (auto *entry = impl_->table.find(key); entry != nullptr) {
        entry->lastUsed = impl_->toCoarse(now);
    }
}

// The entry is kept without an upstream: this host remains the holder, so what was announced to the owners
// stays correct.
void FlowRouter::forget(const FlowKey &key)
{
    auto *entry = impl_->table.find(key);
    if (entry != nullptr && entry->location == FlowLocation::Local) {
        entry->upstream = Endpoint{};
        entry->announcedTo = HostId{};
    }
}

void FlowRouter::tick(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    // Step 1. End the look-ups that timed out; a missing response counts as "holder unknown".
    while (const auto key = impl_->lookups.popExpired(now)) {
        impl_->endLookup(*key, HostId{}, Endpoint{}, now, outbox, decisions);
    }
    // Step 2. Run one step of expiry and of announcement, at most once per kStepInterval.
    if (now < impl_->nextTick) {
        return;
    }
    impl_->nextTick = now + kStepInterval;
    impl_->generations.removeReplacedBefore(now - impl_->settings.settleTime);
    impl_->expire(now, outbox, decisions);
    const auto ownerOfFlow = [this](FlowEntry &entry) {
        if (entry.location == FlowLocation::Remote && isKnown(entry.upstream) && !impl_->generations.isMember(entry.holder)) {
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

bool FlowRouter::handoverComplete() const
{
    return impl_->leaving && (impl_->announcer.isComplete() || impl_->table.localCount() == 0);
}

std::size_t FlowRouter::localFlows() const
{
    return impl_->table.localCount();
}

std::size_t FlowRouter::remoteFlows() const
{
    return impl_->table.remoteCount();
}

std::size_t FlowRouter::tableBytes() const
{
    return impl_->table.bytes();
}

} // namespace medlarway
