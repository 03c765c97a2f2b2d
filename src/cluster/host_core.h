#pragma once

#include "base/host_list.h"
#include "catalogue/catalogue_sync.h"
#include "cluster/peer_message.h"
#include "guard/key_guard.h"
#include "membership/membership.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// Configuration of the decision cores of one host.
struct HostCoreOptions {
    HostId self;
    AvailabilityZone zone;
    std::uint64_t incarnation = 1; ///< initial value; must be higher after each restart
    std::uint64_t seed = 1; ///< must differ for every start of every host
    GuardSettings guard;
    EarlierLists earlierLists = EarlierLists::MayBeInUse; ///< whether other hosts may still use a host list from before this start
    std::uint32_t readersPerZone = 2; ///< hosts per availability zone that read a shard from the platform
    Duration startWait = std::chrono::seconds{3}; ///< a starting host waits at most this long for its peers' catalogue
};

/// A message received from a peer for the data path.
template<class Message>
struct Received {
    HostId from;
    Message message;
};

/// Actions that the cores request. The caller performs them, each list in its order, and empties the struct.
struct HostActions {
    Outbox<PeerMessage> messages;
    GuardDecisions verdicts;
    std::vector<MembershipEvent> membershipEvents;
    std::vector<Received<ServiceSlotMessage>> slotMessages;
    std::vector<Received<ServiceFlowMessage>> flowMessages;
    std::shared_ptr<const View> view; ///< the new view; null if unchanged
    std::shared_ptr<const Catalogue> catalogue; ///< the new catalogue in force; null if unchanged
    std::optional<std::vector<std::string>> shardsToRead; ///< shards to read from the platform; nullopt if unchanged
};

/// Combines the decision cores of one host: membership, the catalogue in force, and the key guard. Pure: its inputs are
/// the time, messages and the platform's values, its outputs are actions. Not thread-safe.
class HostCore
{
public:
    HostCore(const HostCoreOptions &options, Time now);

    /// Sets the platform's host list: the hosts that may be members. It may be outdated.
    void setListed(const std::vector<ListedHost> &hosts, Time now, HostActions &actions);

    /// Offers a shard read from the platform. It never replaces a higher revision.
    void offerShard(const CatalogueShard &shard, Time now, HostActions &actions);

    /// Adds the names of shards that the platform has.
    void learnShards(const std::vector<std::string> &names, HostActions &actions);

    /// Offers the removal of a shard by the platform at this revision.
    void removeShard(const std::string &name, std::uint64_t revision, Time now, HostActions &actions);

    /// Handles a message of a peer whose authenticity has been verified.
    void receive(HostId from, const PeerMessage &message, Time now, HostActions &actions);

    /// Runs timers. Call at nextTick() or later; a call much later counts as a pause of this host.
    void tick(Time now, HostActions &actions);

    /// When tick must be called next.
    Time nextTick() const;

    /// Claims a key for a protected request; the verdict is in the actions of this call or a later one.
    ClaimId claimKey(const GuardKey &key, Duration window, Time deadline, Time now, HostActions &actions);

    /// Reports the result of a granted run.
    void finishRun(ClaimId claim, const GuardKey &key, RunResult result, Time now, HostActions &actions);

    /// Starts draining: this host completes what is in progress and accepts nothing new.
    void leave(Time now, HostActions &actions);

    /// Announces to peers that this host stops now.
    void depart(Time now, HostActions &actions);

    /// True once the catalogue is known to be no older than the peers', or startWait has passed.
    bool readyToServe(Time now) const;

    const Membership &membership() const
    {
        return membership_;
    }

    const CatalogueSync &catalogue() const
    {
        return catalogue_;
    }

    const KeyGuard &guard() const
    {
        return guard_;
    }

private:
    void publishChanges(Time now, HostActions &actions);
    void updateShardsToRead(HostActions &actions);
    void handleMembershipEvents(Time now, HostActions &actions);
    void handlePause(Time now, HostActions &actions);

    Membership membership_;
    CatalogueSync catalogue_;
    KeyGuard guard_;
    EarlierLists earlierLists_;
    std::uint64_t viewNumber_ = 0;
    std::shared_ptr<const Catalogue> inForce_;
    std::vector<std::string> shardsToRead_;
};

} // namespace medlarway
