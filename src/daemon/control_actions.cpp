#include "base/errors.h"
#include "daemon/control.h"

#include <algorithm>

namespace medlarway
{

namespace
{

Event eventOf(MembershipEventKind kind)
{
    switch (kind) {
    case MembershipEventKind::Joined:
        return Event::PeerJoined;
    case MembershipEventKind::Suspected:
        return Event::PeerSuspected;
    case MembershipEventKind::Removed:
        return Event::PeerRemoved;
    case MembershipEventKind::Leaving:
        return Event::PeerLeaving;
    case MembershipEventKind::Left:
        return Event::PeerLeft;
    case MembershipEventKind::ZoneLost:
        return Event::ZoneLost;
    case MembershipEventKind::ZoneReturned:
        return Event::ZoneReturned;
    case MembershipEventKind::WokeLate:
        break;
    }
    return Event::WokeLate;
}

} // namespace

// Performs the actions that the cores returned. Messages and verdicts go first, because peers and callers wait for them.
void ControlWorker::perform(HostActions &actions, Time now)
{
    // Step 1. Messages to peers.
    if (link_) {
        for (const auto &outgoing : actions.messages) {
            link_->send(outgoing.to, outgoing.message, now);
        }
    }

    // Step 2. Verdicts of the key guard, and peers' messages for the data path.
    for (const auto &decision : actions.verdicts) {
        replies_.deliver(decision);
    }
    for (const auto &slot : actions.slotMessages) {
        engine_.deliverSlotMessage(slot.message.service, slot.from, slot.message.message);
    }
    for (const auto &flow : actions.flowMessages) {
        engine_.deliverFlowMessage(flow.message.service, flow.from, flow.message.message);
    }

    // Step 3. State changes: the view before the catalogue, since services are distributed over the hosts of the view.
    for (const auto &event : actions.membershipEvents) {
        logMembershipEvent(event);
    }
    if (actions.view) {
        count(Counter::ViewChanges);
        engine_.applyView(actions.view);
    }
    if (actions.catalogue) {
        pendingCatalogue_ = actions.catalogue;
    }
    if (actions.shardsToRead) {
        shardsToRead_ = *actions.shardsToRead;
        updateWatchedKeys();
    }
}

void ControlWorker::logMembershipEvent(const MembershipEvent &event) const
{
    if (event.kind == MembershipEventKind::WokeLate) {
        count(Counter::LateWakeups);
    }
    const auto host = event.host == HostId{} ? std::string("none") : endpointToString(endpointOf(event.host));
    logEvent(eventOf(event.kind), {field("host", host), field("zone", event.zone.name)});
}

// A host that has just started may have read an outdated catalogue. It serves nothing until its peers have sent theirs
// or have failed to respond in time.
void ControlWorker::serveWhenReady(Time now)
{
    serving_ = serving_ || core_.readyToServe(now);
    if (serving_ && pendingCatalogue_) {
        const auto catalogue = std::exchange(pendingCatalogue_, nullptr);
        putInForce(*catalogue);
    }
}

void ControlWorker::putInForce(const Catalogue &catalogue)
{
    const auto previous = store_.inForce();
    std::vector<std::string> names;
    for (const auto &shard : catalogue.shards) {
        names.push_back(shard.name);
    }
    store_.retainOnly(names);
    for (const auto &shard : catalogue.shards) {
        putShardInForce(shard);
    }
    if (store_.inForce() != previous) {
        engine_.applyCatalogue(store_.inForce());
        inForce_.store(store_.inForce());
    }
}

void ControlWorker::putShardInForce(const CatalogueShard &shard)
{
    const auto offer = store_.offer(shard);
    if (offer.result == OfferResult::Accepted) {
        count(Counter::CatalogueAccepted);
        logEvent(Event::CatalogueAccepted, {field("shard", shard.name), field("revision", shard.revision)});
    } else if (offer.result == OfferResult::Refused) {
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(faultsToString(offer.faults, "shard " + shard.name + ": ")));
    }
}

// Watches the index, the host lists of all zones, and the shards that this host reads on behalf of its zone.
void ControlWorker::updateWatchedKeys()
{
    std::vector<WatchedKey> keys{{std::string(kIndexKey), index_.revision}};
    for (const auto &shard : shardsToRead_) {
        keys.push_back({shardKey(shard), core_.catalogue().shardRevision(shard)});
    }
    for (const auto &zone : index_.zones) {
        const auto found = hostLists_.find(zone);
        keys.push_back({hostsKey(zone), found == hostLists_.end() ? 0 : found->second.revision});
    }
    setWatchedKeys_(std::move(keys));
}

} // namespace medlarway
