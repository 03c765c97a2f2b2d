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
    if (message.kind == FlowMessageKind::AnnounceAck) {
        impl_->announcer.onAnnounceAck(from, message.batchId, impl_->table);
        return;
    }
    if (message.flows.empty() || message.flows.size() > kMaxFlowsPerMessage || from == impl_->self) {
        return;
    }
    const auto key = keyOf(message.flows.front());
    switch (message.kind) {
    case FlowMessageKind::Claim:
        impl_->receiveQuery(from, key, true, now, outbox);
        break;
    case FlowMessageKind::Query:
        impl_->receiveQuery(from, key, false, now, outbox);
        break;
    case FlowMessageKind::HolderFound:
        impl_->receiveHolderFound(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::HolderUnknown:
        impl_->receiveHolderUnknown(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::NotHolder:
        impl_->receiveNotHolder(from, key);
        break;
    case FlowMessageKind::Announce:
        impl_->receiveAnnounce(from, message, now, outbox, decisions);
        break;
    case FlowMessageKind::AnnounceAck:
        break;
    }
}

// Responds with the holder of a flow. Two hosts that both believe to own a flow must not both open it as new:
// the first host whose claim is answered with HolderUnknown becomes the holder, and if both look it up at the
// same time, the host with the lower id does.
void FlowRouter::Impl::receiveQuery(HostId from, const FlowKey &key, bool claims, Time now, Outbox<FlowMessage> &outbox)
{
    const auto announcedPlacement = announcer.isComplete() ? placement : 0;
    // Step 1. The flow has an entry.
    if (auto *entry = table.find(key); entry != nullptr) {
        const bool isHeld = entry->location == FlowLocation::Local;
        auto response = makeFlowMessage(FlowMessageKind::HolderFound, key, isHeld ? self : entry->holder, entry->upstream);
        response.announcedPlacement = announcedPlacement;
        outbox.push_back({from, std::move(response)});
        return;
    }
    // Step 2. This host is looking up the flow itself.
    if (auto *lookup = claims ? lookups.find(key) : nullptr; lookup != nullptr) {
        if (self < from) {
            outbox.push_back({from, makeFlowMessage(FlowMessageKind::HolderFound, key, self)});
        } else if (std::find(lookup->deferredClaims.begin(), lookup->deferredClaims.end(), from) == lookup->deferredClaims.end()) {
            lookup->deferredClaims.push_back(from);
        }
        return;
    }
    // Step 3. The holder is unknown. If this host is the owner, the claiming host becomes the holder.
    if (claims && ownerOfFlow(key) == self) {
        if (auto *entry = table.findOrInsert(key, FlowLocation::Remote); entry != nullptr) {
            setHolder(*entry, from);
            noteUse(*entry, now);
        }
    }
    auto response = makeFlowMessage(FlowMessageKind::HolderUnknown, key);
    response.announcedPlacement = announcedPlacement;
    outbox.push_back({from, std::move(response)});
}

void FlowRouter::Impl::receiveHolderFound(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox,
                                          FlowDecisions &decisions)
{
    noteAnnouncedPlacement(from, message);
    const auto &flow = message.flows.front();
    const auto key = keyOf(flow);
    if (lookups.find(key) != nullptr) {
        // The responder names this host as the holder, but not the upstream: same as HolderUnknown.
        if (message.holder == self && !isKnown(flow.upstream)) {
            receiveHolderUnknown(from, message, now, outbox, decisions);
            return;
        }
        endLookup(key, message.holder, flow.upstream, now, outbox, decisions);
        return;
    }
    if (auto *entry = table.find(key); entry != nullptr) {
        updateEntry(*entry, from, message.holder, flow.upstream, now, decisions);
    }
}

// Updates the entry of a flow with the holder and upstream that another host reported.
void FlowRouter::Impl::updateEntry(FlowEntry &entry, HostId from, HostId holder, const Endpoint &upstream, Time now,
                                   FlowDecisions &decisions)
{
    // Step 1. Both hosts hold the flow: the one with the lower id keeps it. Both apply the same rule.
    if (entry.location == FlowLocation::Local) {
        if (holder == from && from < self && isKnown(upstream)) {
            yieldTo(entry, from, upstream, decisions);
        }
        return;
    }
    // Step 2. Accept reports about a third host only from the recorded holder.
    if (entry.holder != from && holder != from) {
        return;
    }
    entry.queryPending = false;
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

void FlowRouter::Impl::receiveHolderUnknown(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox,
                                            FlowDecisions &decisions)
{
    noteAnnouncedPlacement(from, message);
    const auto key = keyOf(message.flows.front());
    if (auto *lookup = lookups.find(key); lookup != nullptr) {
        std::erase(lookup->unanswered, from);
        if (lookup->unanswered.empty()) {
            endLookup(key, HostId{}, Endpoint{}, now, outbox, decisions);
        }
        return;
    }
    receiveNotHolder(from, key);
}

// The recorded holder does not hold the flow any more (it was restarted, or the flow expired there): take over
// if the upstream is known.
void FlowRouter::Impl::receiveNotHolder(HostId from, const FlowKey &key)
{
    auto *entry = table.find(key);
    if (entry == nullptr || entry->location != FlowLocation::Remote || entry->holder != from) {
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
        applyAnnouncedFlow(from, message.holder, flow, now, outbox, decisions);
    }
    FlowMessage response;
    response.kind = FlowMessageKind::AnnounceAck;
    response.batchId = message.batchId;
    outbox.push_back({from, std::move(response)});
}

// Applies one announced flow. If the table is full, the flow is ignored: its packets are then looked up or opened
// as new, like those of any other flow.
void FlowRouter::Impl::applyAnnouncedFlow(HostId from, HostId holder, const FlowBinding &flow, Time now, Outbox<FlowMessage> &outbox,
                                          FlowDecisions &decisions)
{
    const auto key = keyOf(flow);
    if (lookups.find(key) != nullptr) {
        endLookup(key, holder, flow.upstream, now, outbox, decisions);
        return;
    }
    auto *entry = table.find(key);
    if (entry != nullptr) {
        const bool bothHold = entry->location == FlowLocation::Local && holder == from && self < from;
        if (bothHold && isKnown(entry->upstream)) {
            outbox.push_back({from, makeFlowMessage(FlowMessageKind::HolderFound, key, self, entry->upstream)});
        }
        updateEntry(*entry, from, holder, flow.upstream, now, decisions);
        return;
    }
    const bool holderIsSelf = holder == self;
    if (holderIsSelf && !isKnown(flow.upstream)) {
        return;
    }
    entry = table.findOrInsert(key, holderIsSelf ? FlowLocation::Local : FlowLocation::Remote);
    if (entry != nullptr) {
        setHolder(*entry, holderIsSelf ? HostId{} : holder);
        entry->upstream = flow.upstream;
        noteUse(*entry, now);
        if (ownerOfFlow(key) != self) {
            announcer.restart();
        }
    }
}

// Records that the host has announced all its flows to their owners under the current placement, so that it
// need not be queried until the owners change.
void FlowRouter::Impl::noteAnnouncedPlacement(HostId from, const FlowMessage &message)
{
    const bool isNew = std::find(fullyAnnouncedHosts.begin(), fullyAnnouncedHosts.end(), from) == fullyAnnouncedHosts.end();
    if (message.announcedPlacement == placement && isNew) {
        fullyAnnouncedHosts.push_back(from);
    }
}

} // namespace medlarway
