#include "cluster/host_core.h"

#include <algorithm>

namespace medlarway
{

namespace
{

MembershipOptions membershipOptions(const HostCoreOptions &options)
{
    MembershipOptions result;
    result.self = options.self;
    result.zone = options.zone;
    result.incarnation = options.incarnation;
    result.seed = options.seed;
    return result;
}

CatalogueSyncOptions catalogueOptions(const HostCoreOptions &options)
{
    CatalogueSyncOptions result;
    result.self = options.self;
    result.zone = options.zone;
    result.readersPerZone = options.readersPerZone;
    result.maxStartWait = options.startWait;
    result.seed = options.seed;
    return result;
}

// Moves the messages of one core's outbox to the common outbox.
template<class Message>
void forward(Outbox<Message> &from, Outbox<PeerMessage> &to)
{
    for (auto &outgoing : from) {
        to.push_back({outgoing.to, PeerMessage(std::move(outgoing.message))});
    }
    from.clear();
}

} // namespace

HostCore::HostCore(const HostCoreOptions &options, Time now)
    : membership_(membershipOptions(options))
    , catalogue_(catalogueOptions(options))
    , guard_(options.self, options.guard, options.seed, now)
    , earlierLists_(options.earlierLists)
{
}

void HostCore::setListed(const std::vector<ListedHost> &hosts, Time now, HostActions &actions)
{
    std::vector<HostId> ids;
    ids.reserve(hosts.size());
    for (const auto &host : hosts) {
        ids.push_back(hostIdOf(host.address));
    }
    membership_.setListed(hosts, now);
    guard_.setListed(std::move(ids), now, earlierLists_);
    publishChanges(now, actions);
}

void HostCore::offerShard(const CatalogueShard &shard, Time now, HostActions &actions)
{
    Outbox<CatalogueMessage> outbox;
    catalogue_.offer(shard, now, outbox);
    forward(outbox, actions.messages);
    publishChanges(now, actions);
}

void HostCore::learnShards(const std::vector<std::string> &names, HostActions &actions)
{
    catalogue_.addShards(names);
    updateShardsToRead(actions);
}

void HostCore::removeShard(const std::string &name, std::uint64_t revision, Time now, HostActions &actions)
{
    Outbox<CatalogueMessage> outbox;
    catalogue_.offerRemoval(name, revision, now, outbox);
    forward(outbox, actions.messages);
    publishChanges(now, actions);
}

void HostCore::receive(HostId from, const PeerMessage &message, Time now, HostActions &actions)
{
    if (const auto *membership = std::get_if<MembershipMessage>(&message)) {
        Outbox<MembershipMessage> outbox;
        membership_.receive(from, *membership, now, outbox);
        forward(outbox, actions.messages);
    } else if (const auto *catalogue = std::get_if<CatalogueMessage>(&message)) {
        Outbox<CatalogueMessage> outbox;
        catalogue_.receive(from, *catalogue, now, outbox);
        forward(outbox, actions.messages);
    } else if (const auto *guard = std::get_if<GuardMessage>(&message)) {
        Outbox<GuardMessage> outbox;
        guard_.receive(from, *guard, now, outbox, actions.verdicts);
        forward(outbox, actions.messages);
    } else if (const auto *slot = std::get_if<ServiceSlotMessage>(&message)) {
        actions.slotMessages.push_back({from, *slot});
    } else if (const auto *flow = std::get_if<ServiceFlowMessage>(&message)) {
        actions.flowMessages.push_back({from, *flow});
    }
    publishChanges(now, actions);
}

void HostCore::tick(Time now, HostActions &actions)
{
    Outbox<MembershipMessage> membershipOutbox;
    membership_.tick(now, membershipOutbox);
    forward(membershipOutbox, actions.messages);
    // Membership detects a pause of this host. The other cores must handle it before they act on outdated state.
    handleMembershipEvents(now, actions);

    Outbox<CatalogueMessage> catalogueOutbox;
    catalogue_.tick(now, catalogueOutbox);
    forward(catalogueOutbox, actions.messages);

    Outbox<GuardMessage> guardOutbox;
    guard_.tick(now, guardOutbox, actions.verdicts);
    forward(guardOutbox, actions.messages);
    publishChanges(now, actions);
}

Time HostCore::nextTick() const
{
    auto next = std::min(membership_.nextTick(), catalogue_.nextTick());
    if (const auto guard = guard_.nextTick()) {
        next = std::min(next, *guard);
    }
    return next;
}

// Detects a pause first: after one, the host must not act on votes received before it.
ClaimId HostCore::claimKey(const GuardKey &key, Duration window, Time deadline, Time now, HostActions &actions)
{
    if (now >= nextTick()) {
        tick(now, actions);
    }
    Outbox<GuardMessage> outbox;
    const auto claim = guard_.claim(key, window, deadline, now, outbox, actions.verdicts);
    forward(outbox, actions.messages);
    publishChanges(now, actions);
    return claim;
}

void HostCore::finishRun(ClaimId claim, const GuardKey &key, RunResult result, Time now, HostActions &actions)
{
    Outbox<GuardMessage> outbox;
    guard_.finishRun(claim, key, result, now, outbox);
    forward(outbox, actions.messages);
}

void HostCore::leave(Time now, HostActions &actions)
{
    membership_.leave(now);
    publishChanges(now, actions);
}

void HostCore::depart(Time now, HostActions &actions)
{
    Outbox<MembershipMessage> outbox;
    membership_.depart(now, outbox);
    forward(outbox, actions.messages);
}

bool HostCore::readyToServe(Time now) const
{
    return catalogue_.readyToServe(now);
}

void HostCore::handleMembershipEvents(Time now, HostActions &actions)
{
    for (const auto &event : membership_.takeEvents()) {
        if (event.kind == MembershipEventKind::WokeLate) {
            handlePause(now, actions);
        }
        actions.membershipEvents.push_back(event);
    }
}

void HostCore::handlePause(Time now, HostActions &actions)
{
    Outbox<GuardMessage> outbox;
    guard_.handlePause(now, outbox, actions.verdicts);
    forward(outbox, actions.messages);
    catalogue_.restartSync(now);
}

// Passes a changed view to the catalogue, which selects the readers of shards from it, and changes of both to the caller.
// The shards to read cost a hash per shard and member, so they are computed on a change only.
void HostCore::publishChanges(Time now, HostActions &actions)
{
    handleMembershipEvents(now, actions);
    bool changed = false;
    if (const auto &view = membership_.view(); view.number != viewNumber_) {
        viewNumber_ = view.number;
        catalogue_.setView(view, now);
        actions.view = std::make_shared<const View>(view);
        changed = true;
    }
    if (auto inForce = catalogue_.inForce(); inForce != inForce_) {
        inForce_ = std::move(inForce);
        actions.catalogue = inForce_;
        changed = true;
    }
    if (changed) {
        updateShardsToRead(actions);
    }
}

void HostCore::updateShardsToRead(HostActions &actions)
{
    if (auto shards = catalogue_.shardsToRead(); shards != shardsToRead_) {
        shardsToRead_ = shards;
        actions.shardsToRead = std::move(shards);
    }
}

} // namespace medlarway
