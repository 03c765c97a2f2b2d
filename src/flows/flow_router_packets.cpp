#include "flows/flow_router_impl.h"
#include "flows/relayed_datagram.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// From this hop count on, a host decides as if it owned the flow. Hosts whose views differ would otherwise
/// relay the packet back and forth until it reaches the hop limit.
constexpr std::uint8_t kForcedDecisionHops = kMaxRelayHops - 1;

/// Number of remaining hosts, and of leaving hosts, that a host queries shortly after its start, when it knows no earlier
/// generations. The previous owner is still among the best ranked if no more hosts than this joined at the same time.
constexpr std::size_t kMaxQueriedAfterStart = 3;

FlowDecision dropDecision(const FlowKey &key, ErrorKind error)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::Drop;
    decision.error = error;
    return decision;
}

FlowDecision forwardDecision(const FlowEntry &entry)
{
    FlowDecision decision;
    decision.key = entry.key;
    decision.action = FlowAction::Forward;
    decision.upstream = entry.upstream;
    return decision;
}

FlowDecision relayDecision(const FlowKey &key, HostId host)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::Relay;
    decision.host = host;
    return decision;
}

FlowDecision newDecision(const FlowKey &key)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::New;
    decision.hint = flowHash(key);
    return decision;
}

FlowDecision holdDecision(const FlowKey &key)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::Hold;
    return decision;
}

void addOnce(std::vector<HostId> &hosts, HostId host)
{
    if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        hosts.push_back(host);
    }
}

} // namespace

void FlowRouter::onPacket(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    decisions.packets.push_back(impl_->decide(key, hops, now, outbox));
}

FlowDecision FlowRouter::Impl::decide(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox)
{
    // Step 1. The flow has an entry: the common case.
    auto *entry = table.find(key);
    if (entry != nullptr && entry->location == FlowLocation::Remote && !canRelayTo(entry->holder, entry->upstream)) {
        if (isKnown(entry->upstream)) {
            takeOver(*entry);
        } else {
            table.erase(*entry);
            entry = nullptr;
        }
    }
    if (entry != nullptr) {
        // If the holder has never been in the view, let the entry expire.
        if (entry->location == FlowLocation::Local || generations.isMember(entry->holder)) {
            entry->lastUsed = toCoarse(now);
        }
        return decideFromEntry(*entry, hops, outbox);
    }
    // Step 2. A look-up for the flow is in progress.
    if (lookups.find(key) != nullptr) {
        return holdDecision(key);
    }
    // Step 3. Another host owns the flow: relay to the owner. If the packet was relayed to this host, another host
    // believes that this one is the holder; tell the owner that it is not.
    const auto owner = ownerOfFlow(key);
    if (!owner) {
        return dropDecision(key, ErrorKind::Draining);
    }
    const bool decideHere = *owner == self || (hops >= kForcedDecisionHops && !leaving);
    if (!decideHere) {
        if (hops >= kMaxRelayHops) {
            return dropDecision(key, ErrorKind::HopLimit);
        }
        if (hops > 0) {
            outbox.push_back({*owner, makeFlowMessage(FlowMessageKind::NotHolder, key)});
        }
        return relayDecision(key, *owner);
    }
    // Step 4. This host owns the flow; an owner in an earlier generation may still hold it.
    return decideAsOwner(key, *owner, now, outbox);
}

// Returns the owner in the current view. Cached by bucket, since ranking every member for each packet would
// take microseconds in a fleet of hundreds of hosts.
std::optional<HostId> FlowRouter::Impl::ownerOfFlow(const FlowKey &key)
{
    const auto bucket = bucketOf(key);
    auto &owner = bucketOwners[bucket];
    if (owner == HostId{}) {
        owner = generations.owner(bucket).value_or(HostId{});
    }
    return owner == HostId{} ? std::nullopt : std::optional(owner);
}

// If a packet reaches its hop limit here although another host is recorded as the holder, hosts are relaying
// it in a loop because each believes another to be the holder. Query that host, once.
FlowDecision FlowRouter::Impl::decideFromEntry(FlowEntry &entry, std::uint8_t hops, Outbox<FlowMessage> &outbox)
{
    if (entry.location == FlowLocation::Local) {
        return isKnown(entry.upstream) ? forwardDecision(entry) : newDecision(entry.key);
    }
    if (hops < kMaxRelayHops) {
        return relayDecision(entry.key, entry.holder);
    }
    if (!entry.queryPending) {
        entry.queryPending = true;
        outbox.push_back({entry.holder, makeFlowMessage(FlowMessageKind::Query, entry.key)});
    }
    return dropDecision(entry.key, ErrorKind::HopLimit);
}

FlowDecision FlowRouter::Impl::decideAsOwner(const FlowKey &key, HostId owner, Time now, Outbox<FlowMessage> &outbox)
{
    if (table.isFull()) {
        return dropDecision(key, ErrorKind::FlowTableFull);
    }
    auto queriedHosts = possibleHolders(bucketOf(key), owner, now);
    if (queriedHosts.empty()) {
        return newDecision(key);
    }
    if (lookups.size() >= settings.maxLookups) {
        return dropDecision(key, ErrorKind::FlowTableFull);
    }
    for (const auto host : queriedHosts) {
        outbox.push_back({host, makeFlowMessage(FlowMessageKind::Claim, key)});
    }
    lookups.start(key, std::move(queriedHosts), now);
    return holdDecision(key);
}

// Returns the hosts that may hold a flow that has no entry here. Empty in steady state: if the owners have
// not changed, a flow without an entry is new.
std::vector<HostId> FlowRouter::Impl::possibleHolders(std::uint64_t bucket, HostId owner, Time now) const
{
    std::vector<HostId> hosts;
    // Step 1. The owners of earlier generations.
    for (const auto host : generations.earlierOwners(bucket)) {
        addOnce(hosts, host);
    }
    // Step 2. Shortly after the start no earlier generations are known: the hosts that would own the flow without
    // this one.
    if (now < startedAt + settings.settleTime) {
        std::vector<HostId> staying;
        std::vector<HostId> leavingHosts;
        for (const auto &member : generations.current().members) {
            if (member.id != self) {
                (mayOwn(member) ? staying : leavingHosts).push_back(member.id);
            }
        }
        for (const auto *others : {&staying, &leavingHosts}) {
            for (const auto host : rankHosts(bucket, *others, kMaxQueriedAfterStart)) {
                addOnce(hosts, host);
            }
        }
    }
    // Step 3. Not the hosts that have already announced all their flows to the owners.
    std::erase_if(hosts, [this](HostId host) {
        return std::find(fullyAnnouncedHosts.begin(), fullyAnnouncedHosts.end(), host) != fullyAnnouncedHosts.end();
    });
    // Step 4. The owner, if this host decides only because of the hop count: flows are announced to their owner alone.
    addOnce(hosts, owner);
    // Step 5. Not this host, nor hosts that have left the view.
    std::erase_if(hosts, [this](HostId host) { return host == self || !generations.isMember(host); });
    return hosts;
}

// True if packets can be relayed to the holder. If the upstream is known, the holder must be a member; otherwise
// this host takes over. If it is not known, a holder that has never been in the view is accepted too: it may
// have joined before the membership update arrived here.
bool FlowRouter::Impl::canRelayTo(HostId holder, const Endpoint &upstream) const
{
    return generations.isMember(holder) || (!isKnown(upstream) && !generations.wasRemoved(holder));
}

// Ends a look-up. Holder 0 means that none was found; port 0 of the upstream that it is not known.
void FlowRouter::Impl::endLookup(const FlowKey &key, HostId holder, const Endpoint &upstream, Time now, Outbox<FlowMessage> &outbox,
                                 FlowDecisions &decisions)
{
    const auto lookup = lookups.take(key);
    const bool becomesHolder = holder == self || (holder != HostId{} && !canRelayTo(holder, upstream));
    // Step 1. The holder is this host (before a restart) or has left the view: hold the flow with the same upstream.
    if (becomesHolder && isKnown(upstream)) {
        auto *entry = table.findOrInsert(key, FlowLocation::Local);
        if (entry == nullptr) {
            decisions.packets.push_back(dropDecision(key, ErrorKind::FlowTableFull));
            return;
        }
        entry->upstream = upstream;
        entry->lastUsed = toCoarse(now);
        decisions.packets.push_back(forwardDecision(*entry));
        answerDeferredClaims(lookup, key, self, upstream, outbox);
        return;
    }
    // Step 2. Another host holds the flow, or has claimed it and becomes the holder.
    const bool isHeldElsewhere = holder != HostId{} && !becomesHolder;
    if (isHeldElsewhere || !lookup.deferredClaims.empty()) {
        const auto newHolder = isHeldElsewhere ? holder : *std::min_element(lookup.deferredClaims.begin(), lookup.deferredClaims.end());
        if (auto *entry = table.findOrInsert(key, FlowLocation::Remote); entry != nullptr) {
            setHolder(*entry, newHolder);
            entry->upstream = upstream;
            noteUse(*entry, now);
        }
        decisions.packets.push_back(relayDecision(key, newHolder));
        answerDeferredClaims(lookup, key, isHeldElsewhere ? holder : HostId{}, upstream, outbox);
        return;
    }
    // Step 3. No host holds the flow: it is new.
    decisions.packets.push_back(newDecision(key));
}

void FlowRouter::Impl::answerDeferredClaims(const FlowLookup &lookup, const FlowKey &key, HostId holder, const Endpoint &upstream,
                                            Outbox<FlowMessage> &outbox)
{
    const auto kind = holder == HostId{} ? FlowMessageKind::HolderUnknown : FlowMessageKind::HolderFound;
    for (const auto host : lookup.deferredClaims) {
        outbox.push_back({host, makeFlowMessage(kind, key, holder, upstream)});
    }
}

} // namespace medlarway
