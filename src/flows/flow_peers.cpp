#include "flows/flow_router_impl.h"

#include <algorithm>

namespace medlarway
{

namespace
{

FlowKey keyOf(const FlowBinding &flow)
{
    return FlowKey{flow.caller, flow.service};
}

} // namespace

void FlowRouter::receive(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions)
{
    if (message.kind == FlowMessageKind::Announced) {
        impl_->announcer.taken(from, message.number, impl_->table);
        return;
    }
    if (message.flows.empty() || message.flows.size() > kFlowsPerMessage || from == impl_->self) {
        return;
    }
    const auto key = keyOf(message.flows.front());
    switch (message.kind) {
    case FlowMessageKind::Ask:
        impl_->receiveAsk(from, key, true, now, outbox);
        break;
    case FlowMessageKind::Check:
        impl_->receiveAsk(from, key, false, now, outbox);
        break;
    case FlowMessageKind::Found:
        impl_->receiveFound(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::Unknown:
        impl_->receiveUnknown(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::NotHeld:
        impl_->receiveNotHeld(from, key);
        break;
    case FlowMessageKind::Announce:
        impl_->receiveAnnounce(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::Announced:
        break;
    }
}

// Answers who holds a flow. Two hosts that both take themselves for the owner
// must not both count it as new, so who asks first and is told "unknown" gets
// it, and of two that look it up at the same time the lower id does.
void FlowRouter::Impl::receiveAsk(HostId from, const FlowKey &key, bool claims, Time now, Outbox<FlowMessage> &outbox)
{
    const auto settledFor = announcer.isSettled() ? placement : 0;
    // Step 1. A known flow.
    if (auto *entry = table.find(key); entry != nullptr) {
        const bool isHeld = entry->place == FlowPlace::Held;
        auto answer = flowMessage(FlowMessageKind::Found, key, isHeld ? self : entry->holder, entry->upstream);
        answer.settledFor = settledFor;
        outbox.push_back({from, std::move(answer)});
        return;
    }
    // Step 2. A look-up of this host's own is under way.
    if (auto *lookup = claims ? lookups.find(key) : nullptr; lookup != nullptr) {
        if (self < from) {
            outbox.push_back({from, flowMessage(FlowMessageKind::Found, key, self)});
        } else if (std::find(lookup->deferred.begin(), lookup->deferred.end(), from) == lookup->deferred.end()) {
            lookup->deferred.push_back(from);
        }
        return;
    }
    // Step 3. Unknown. Where this host would count it as new, it is the asker's from now on.
    if (claims && ownerOfFlow(key) == self) {
        if (auto *entry = table.findOrInsert(key, FlowPlace::Elsewhere); entry != nullptr) {
            setHolder(*entry, from);
            noteUse(*entry, now);
        }
    }
    auto answer = flowMessage(FlowMessageKind::Unknown, key);
    answer.settledFor = settledFor;
    outbox.push_back({from, std::move(answer)});
}

void FlowRouter::Impl::receiveFound(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox,
                                    FlowDecisions &decisions)
{
    noteSettled(from, message);
    const auto &flow = message.flows.front();
    const auto key = keyOf(flow);
    if (lookups.find(key) != nullptr) {
        // The holder is this host, but it does not know the upstream: one host less to wait for.
        if (message.holder == self && !isKnown(flow.upstream)) {
            receiveUnknown(from, message, now, outbox, decisions);
            return;
        }
        endLookup(key, message.holder, flow.upstream, now, outbox, decisions);
        return;
    }
    if (auto *entry = table.find(key); entry != nullptr) {
        updateEntry(*entry, from, message.holder, flow.upstream, now, decisions);
    }
}

// Takes in what a host says of the holder of a flow that has an entry here.
void FlowRouter::Impl::updateEntry(FlowEntry &entry, HostId from, HostId holder, const Endpoint &upstream, Time now,
                                   FlowDecisions &decisions)
{
    // Step 1. Both hold it: the lower id keeps it, on either side.
    if (entry.place == FlowPlace::Held) {
        if (holder == from && from < self && isKnown(upstream)) {
            giveWay(entry, from, upstream, decisions);
        }
        return;
    }
    // Step 2. Only the host that this one takes for the holder is believed about another one.
    if (entry.holder != from && holder != from) {
        return;
    }
    entry.checking = false;
    if (isKnown(upstream)) {
        entry.upstream = upstream;
    }
    if (holder != self) {
        if (holder != entry.holder) {
            setHolder(entry, holder);
            announcer.restart();
        }
        noteUse(entry, now);
    } else if (isKnown(entry.upstream)) {
        takeOver(entry);
    } else {
        table.erase(entry);
    }
}

void FlowRouter::Impl::receiveUnknown(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox,
                                      FlowDecisions &decisions)
{
    noteSettled(from, message);
    const auto key = keyOf(message.flows.front());
    if (auto *lookup = lookups.find(key); lookup != nullptr) {
        std::erase(lookup->awaiting, from);
        if (lookup->awaiting.empty()) {
            endLookup(key, HostId{}, Endpoint{}, now, outbox, decisions);
        }
        return;
    }
    receiveNotHeld(from, key);
}

// The host does not hold the flow (it was restarted, or let it expire): where
// its upstream is known, this host goes on with it.
void FlowRouter::Impl::receiveNotHeld(HostId from, const FlowKey &key)
{
    auto *entry = table.find(key);
    if (entry == nullptr || entry->place != FlowPlace::Elsewhere || entry->holder != from) {
        return;
    }
    if (isKnown(entry->upstream)) {
        takeOver(*entry);
    } else {
        table.erase(*entry);
    }
}

void FlowRouter::Impl::receiveAnnounce(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox,
                                       FlowDecisions &decisions)
{
    for (const auto &flow : message.flows) {
        takeIn(from, message.holder, flow, now, outbox, decisions);
    }
    FlowMessage answer;
    answer.kind = FlowMessageKind::Announced;
    answer.number = message.number;
    outbox.push_back({from, std::move(answer)});
}

// Takes in one announced flow. A full table leaves it out: its packets are then
// looked up or opened as those of any other flow.
void FlowRouter::Impl::takeIn(HostId from, HostId holder, const FlowBinding &flow, Time now, Outbox<FlowMessage> &outbox,
                              FlowDecisions &decisions)
{
    const auto key = keyOf(flow);
    if (lookups.find(key) != nullptr) {
        endLookup(key, holder, flow.upstream, now, outbox, decisions);
        return;
    }
    auto *entry = table.find(key);
    if (entry != nullptr) {
        const bool bothHold = entry->place == FlowPlace::Held && holder == from && self < from;
        if (bothHold && isKnown(entry->upstream)) {
            outbox.push_back({from, flowMessage(FlowMessageKind::Found, key, self, entry->upstream)});
        }
        updateEntry(*entry, from, holder, flow.upstream, now, decisions);
        return;
    }
    const bool isHere = holder == self;
    if (isHere && !isKnown(flow.upstream)) {
        return;
    }
    entry = table.findOrInsert(key, isHere ? FlowPlace::Held : FlowPlace::Elsewhere);
    if (entry != nullptr) {
        setHolder(*entry, isHere ? HostId{} : holder);
        entry->upstream = flow.upstream;
        noteUse(*entry, now);
        if (ownerOfFlow(key) != self) {
            announcer.restart();
        }
    }
}

// The host has told the owners of all flows that it knows: nothing of it is
// still to be found by asking, as long as owners stay the same.
void FlowRouter::Impl::noteSettled(HostId from, const FlowMessage &message)
{
    const bool isNews = std::find(settledHosts.begin(), settledHosts.end(), from) == settledHosts.end();
    if (message.settledFor == placement && isNews) {
        settledHosts.push_back(from);
    }
}

} // namespace medlarway
