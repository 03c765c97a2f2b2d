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

/// How the decision cores of one host are set up.
struct HostCoreOptions {
    HostId self;
    AvailabilityZone zone;
    std::uint64_t incarnation = 1; ///< at the start; higher after each restart
    std::uint64_t seed = 1; ///< must differ between two starts of any hosts
    GuardSettings guard;
    EarlierLists earlierLists = EarlierLists::MayBeInUse; ///< whether other hosts may use a list of hosts from before the start
    std::uint32_t readersPerZone = 2; ///< hosts of a zone that read one shard from the platform
    Duration startWait = std::chrono::seconds{3}; ///< the longest a host that starts waits for its peers' catalogue
};

/// A message that a peer has for the data path.
template<class Message>
struct Received {
    HostId from;
    Message message;
};

/// What the cores want done, in order. The caller empties it.
struct HostActions {
    Outbox<PeerMessage> messages;
    GuardDecisions verdicts;
    std::vector<MembershipEvent> news;
    std::vector<Received<ServiceSlotMessage>> slots;
    std::vector<Received<ServiceFlowMessage>> flows;
    std::shared_ptr<const View> view; ///< the new one, null where it is unchanged
    std::shared_ptr<const Catalogue> catalogue; ///< the new one, null where it is unchanged
    std::optional<std::vector<std::string>> shardsToRead; ///< the new ones, where they changed
};

/// The decision cores of one host put together: who is a member, which catalogue is in force, which key
/// may run. Pure: time, messages and the platform's values come in, actions go out. Not thread-safe.
class HostCore
{
public:
    HostCore(const HostCoreOptions &options, Time now);

    /// Takes the platform's list of hosts, which says who may be a member. It may lag.
    void setListed(const std::vector<ListedHost> &hosts, Time now, HostActions &actions);

    /// The platform has this shard at its revision.
    void offerShard(const CatalogueShard &shard, Time now, HostActions &actions);

    /// The platform has these shards.
    void learnShards(const std::vector<std::string> &names, HostActions &actions);

    /// The platform removed the shard at the revision.
    void removeShard(const std::string &name, std::uint64_t revision, Time now, HostActions &actions);

    /// A verified message of a peer.
    void receive(HostId from, const PeerMessage &message, Time now, HostActions &actions);

    /// Time passed. Call at nextTick() or later; much later counts as a pause of this host.
    void tick(Time now, HostActions &actions);

    /// When tick must be called next.
    Time nextTick() const;

    /// Asks whether a protected request with a key may run; the verdict follows in the actions.
    ClaimId askGuard(const GuardKey &key, Duration window, Time deadline, Time now, HostActions &actions);

    /// A run that was granted ended.
    void finishedRun(ClaimId ask, const GuardKey &key, RunResult result, Time now, HostActions &actions);

    /// This host finishes what it has and takes nothing new.
    void leave(Time now, HostActions &actions);

    /// This host ends now.
    void depart(Time now, HostActions &actions);

    /// Whether the catalogue is known to be no older than what the peers hold.
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
    void settle(Time now, HostActions &actions);
    void refreshReads(HostActions &actions);
    void takeNews(Time now, HostActions &actions);
    void wakeLate(Time now, HostActions &actions);

    Membership membership_;
    CatalogueSync catalogue_;
    KeyGuard guard_;
    EarlierLists earlierLists_;
    std::uint64_t viewNumber_ = 0;
    std::shared_ptr<const Catalogue> inForce_;
    std::vector<std::string> shardsToRead_;
};

} // namespace medlarway
