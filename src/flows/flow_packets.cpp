#include "flows/flow_router_impl.h"
#include "flows/relay.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// From this many hops on, a host decides as if it owned the flow: hosts whose views differ would
/// otherwise hand the packet back and forth until it is dropped.
constexpr std::uint8_t kOwnerHops = kRelayHops - 1;

/// Hosts that a freshly started one asks, of those that stay and of those that leave: it has no earlier generations, and with as many
/// joins at a time the owner before them is still among the best ranked.
constexpr std::size_t kAskedWhenFresh = 3;

FlowDecision dropped(const FlowKey &key, ErrorKind error)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::Drop;
    decision.error = error;
    return decision;
}

FlowDecision forwarded(const FlowEntry &entry)
{
    FlowDecision decision;
    decision.key = entry.key;
    decision.action = FlowAction::Forward;
    decision.upstream = entry.upstream;
    return decision;
}

FlowDecision relayed(const FlowKey &key, HostId host)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::Relay;
    decision.host = host;
    return decision;
}

FlowDecision opened(const FlowKey &key)
{
    FlowDecision decision;
    decision.key = key;
    decision.action = FlowAction::New;
    decision.hint = flowHash(key);
    return decision;
}

FlowDecision held(const FlowKey &key)
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
    // Step 1. A flow that this host knows: most packets end here.
    auto *entry = table.find(key);
    if (entry != nullptr && entry->place == FlowPlace::Elsewhere && !isUsable(entry->holder, entry->upstream)) {
        if (isKnown(entry->upstream)) {
            takeOver(*entry);
        } else {
            table.erase(*entry);
            entry = nullptr;
        }
    }
    if (entry != nullptr) {
        // What a host claimed that never came into view is left to expire.
        if (entry->place == FlowPlace::Held || generations.isMember(entry->holder)) {
            entry->lastUsed = coarse(now);
        }
        return decideKnown(*entry, hops, outbox);
    }
    // Step 2. A flow that is being looked up.
    if (lookups.find(key) != nullptr) {
        return held(key);
    }
    // Step 3. Another host's flow: to its owner. A packet that was relayed to this host tells that some host
    // takes this one for the holder; the owner is told that it isn't.
    const auto owner = ownerOfFlow(key);
    if (!owner) {
        return dropped(key, ErrorKind::Draining);
    }
    const bool decidesHere = *owner == self || (hops >= kOwnerHops && !leaving);
    if (!decidesHere) {
        if (hops >= kRelayHops) {
            return dropped(key, ErrorKind::HopLimit);
        }
        if (hops > 0) {
            outbox.push_back({*owner, flowMessage(FlowMessageKind::NotHeld, key)});
        }
        return relayed(key, *owner);
    }
    // Step 4. This host's flow, unless a host that owned it before has it.
    return decideAsOwner(key, *owner, now, outbox);
}

// The owner in the current view. Ranking every member for each packet would cost
// microseconds in a fleet of hundreds.
std::optional<HostId> FlowRouter::Impl::ownerOfFlow(const FlowKey &key)
{
    const auto bucket = bucketOf(key);
    auto &owner = bucketOwners[bucket];
    if (owner == HostId{}) {
        owner = generations.owner(bucket).value_or(HostId{});
    }
    return owner == HostId{} ? std::nullopt : std::optional(owner);
}

// A packet that has used up its hops at a host that knows another holder went
// round between hosts that each take the other for the holder: ask it, once.
FlowDecision FlowRouter::Impl::decideKnown(FlowEntry &entry, std::uint8_t hops, Outbox<FlowMessage> &outbox)
{
    if (entry.place == FlowPlace::Held) {
        return isKnown(entry.upstream) ? forwarded(entry) : opened(entry.key);
    }
    if (hops < kRelayHops) {
        return relayed(entry.key, entry.holder);
    }
    if (!entry.checking) {
        entry.checking = true;
        outbox.push_back({entry.holder, flowMessage(FlowMessageKind::Check, entry.key)});
    }
    return dropped(entry.key, ErrorKind::HopLimit);
}

FlowDecision FlowRouter::Impl::decideAsOwner(const FlowKey &key, HostId owner, Time now, Outbox<FlowMessage> &outbox)
{
    if (table.isFull()) {
        return dropped(key, ErrorKind::FlowTableFull);
    }
    auto asked = possibleHolders(bucketOf(key), owner, now);
    if (asked.empty()) {
        return opened(key);
    }
    if (lookups.size() >= settings.heldLimit) {
        return dropped(key, ErrorKind::FlowTableFull);
    }
    for (const auto host : asked) {
        outbox.push_back({host, flowMessage(FlowMessageKind::Ask, key)});
    }
    lookups.start(key, std::move(asked), now);
    return held(key);
}

// The hosts that may hold a flow that this host has no entry of. None in steady
// state: owners stayed the same, so what this host doesn't know is new.
std::vector<HostId> FlowRouter::Impl::possibleHolders(std::uint64_t bucket, HostId owner, Time now) const
{
    std::vector<HostId> hosts;
    // Step 1. The owners of earlier generations.
    for (const auto host : generations.earlierOwners(bucket)) {
        addOnce(hosts, host);
    }
    // Step 2. A freshly started host has no generations: the hosts that would own the flow without it.
    if (now < startedAt + settings.settleTime) {
        std::vector<HostId> staying;
        std::vector<HostId> leavers;
        for (const auto &member : generations.current().members) {
            if (member.id != self) {
                (mayOwn(member) ? staying : leavers).push_back(member.id);
            }
        }
        for (const auto *others : {&staying, &leavers}) {
            for (const auto host : rankHosts(bucket, *others, kAskedWhenFresh)) {
                addOnce(hosts, host);
            }
        }
    }
    // Step 3. Hosts that have announced all they hold to their owners need not be asked.
    std::erase_if(hosts, [this](HostId host) { return std::find(settledHosts.begin(), settledHosts.end(), host) != settledHosts.end(); });
    // Step 4. The owner, where the packet's hops were used up at this host: nobody announces flows to any other.
    addOnce(hosts, owner);
    // Step 5. Hosts that can't answer.
    std::erase_if(hosts, [this](HostId host) { return host == self || !generations.isMember(host); });
    return hosts;
}

// True where packets can be relayed to the holder. With the upstream known this
// host goes on itself as soon as the holder is no member. Without it, a holder
// that isn't a member yet may have joined before the news came here.
bool FlowRouter::Impl::isUsable(HostId holder, const Endpoint &upstream) const
{
    return generations.isMember(holder) || (!isKnown(upstream) && !generations.wasRemoved(holder));
}

// Ends a look-up: by the holder that was found, or as a new flow of this host.
void FlowRouter::Impl::endLookup(const FlowKey &key, HostId holder, const Endpoint &upstream, Time now, Outbox<FlowMessage> &outbox,
                                 FlowDecisions &decisions)
{
    const auto lookup = lookups.take(key);
    const bool holderIsHere = holder == self || (holder != HostId{} && !isUsable(holder, upstream));
    // Step 1. This host holds it itself without knowing (it was restarted) or the holder is gone: same upstream.
    if (holderIsHere && isKnown(upstream)) {
        auto *entry = table.findOrInsert(key, FlowPlace::Held);
        if (entry == nullptr) {
            decisions.packets.push_back(dropped(key, ErrorKind::FlowTableFull));
            return;
        }
        entry->upstream = upstream;
        entry->lastUsed = coarse(now);
        decisions.packets.push_back(forwarded(*entry));
        answerDeferred(lookup, key, self, upstream, outbox);
        return;
    }
    // Step 2. Another host holds it, or asked for it first and takes it.
    const bool isFound = holder != HostId{} && !holderIsHere;
    if (isFound || !lookup.deferred.empty()) {
        const auto taker = isFound ? holder : *std::min_element(lookup.deferred.begin(), lookup.deferred.end());
        if (auto *entry = table.findOrInsert(key, FlowPlace::Elsewhere); entry != nullptr) {
            setHolder(*entry, taker);
            entry->upstream = upstream;
            noteUse(*entry, now);
        }
        decisions.packets.push_back(relayed(key, taker));
        answerDeferred(lookup, key, isFound ? holder : HostId{}, upstream, outbox);
        return;
    }
    // Step 3. Nobody knows it.
    decisions.packets.push_back(opened(key));
}

void FlowRouter::Impl::answerDeferred(const FlowLookup &lookup, const FlowKey &key, HostId holder, const Endpoint &upstream,
                                      Outbox<FlowMessage> &outbox)
{
    const auto kind = holder == HostId{} ? FlowMessageKind::Unknown : FlowMessageKind::Found;
    for (const auto host : lookup.deferred) {
        outbox.push_back({host, flowMessage(kind, key, holder, upstream)});
    }
}

} // namespace medlarway
