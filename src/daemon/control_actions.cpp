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

// Does what the cores want done. Messages go first: peers and callers wait for them.
void ControlDuty::perform(HostActions &actions, Time now)
{
    // Step 1. Messages to peers.
    if (link_) {
        for (const auto &outgoing : actions.messages) {
            link_->send(outgoing.to, outgoing.message, now);
        }
    }

    // Step 2. Verdicts, and what peers have for the data path.
    for (const auto &decision : actions.verdicts) {
        replies_.deliver(decision);
    }
    for (const auto &slot : actions.slotMessages) {
        engine_.deliverSlotMessage(slot.message.service, slot.from, slot.message.message);
    }
    for (const auto &flow : actions.flowMessages) {
        engine_.deliverFlowMessage(flow.message.service, flow.from, flow.message.message);
    }

    // Step 3. What changed: the view first, since the catalogue's services are spread over it.
    for (const auto &news : actions.membershipEvents) {
        logNews(news);
    }
    if (actions.view) {
        count(Counter::ViewChanges);
        engine_.applyView(actions.view);
    }
    if (actions.catalogue) {
        offered_ = actions.catalogue;
    }
    if (actions.shardsToRead) {
        shardsToRead_ = *actions.shardsToRead;
        watchKeys();
    }
}

void ControlDuty::logNews(const MembershipEvent &news) const
{
    if (news.kind == MembershipEventKind::WokeLate) {
        count(Counter::LateWakeups);
    }
    const auto host = news.host == HostId{} ? std::string("none") : endpointToString(endpointOf(news.host));
    logEvent(eventOf(news.kind), {field("host", host), field("zone", news.zone.name)});
}

// A host that has just started serves nothing before its peers have told what they hold, or did not
// answer in time: what it read itself may be old.
void ControlDuty::serveWhenReady(Time now)
{
    serving_ = serving_ || core_.readyToServe(now);
    if (serving_ && offered_) {
        const auto catalogue = std::exchange(offered_, nullptr);
        putInForce(*catalogue);
    }
}

void ControlDuty::putInForce(const Catalogue &catalogue)
{
    const auto before = store_.inForce();
    std::vector<std::string> names;
    for (const auto &shard : catalogue.shards) {
        names.push_back(shard.name);
    }
    store_.retainOnly(names);
    for (const auto &shard : catalogue.shards) {
        putShardInForce(shard);
    }
    if (store_.inForce() != before) {
        engine_.applyCatalogue(store_.inForce());
        inForce_.store(store_.inForce());
    }
}

void ControlDuty::putShardInForce(const CatalogueShard &shard)
{
    const auto offer = store_.offer(shard);
    if (offer.result == OfferResult::Accepted) {
        count(Counter::CatalogueAccepted);
        logEvent(Event::CatalogueAccepted, {field("shard", shard.name), field("revision", shard.revision)});
    } else if (offer.result == OfferResult::Refused) {
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(faultsToString(offer.faults, "shard " + shard.name + ": ")));
    }
}

// The index, the host lists of all zones, and the shards that this host reads for its zone.
void ControlDuty::watchKeys()
{
    std::vector<WatchedKey> keys{{std::string(kIndexKey), index_.revision}};
    for (const auto &shard : shardsToRead_) {
        keys.push_back({shardKey(shard), core_.catalogue().shardRevision(shard)});
    }
    for (const auto &zone : index_.zones) {
        const auto found = hostLists_.find(zone);
        keys.push_back({hostsKey(zone), found == hostLists_.end() ? 0 : found->second.revision});
    }
    watchKeys_(std::move(keys));
}

} // namespace medlarway
