#pragma once

#include "base/hash.h"
#include "guard/grant_table.h"
#include "guard/guard_recovery.h"
#include "guard/host_list_history.h"
#include "guard/key_guard.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarway
{

/// The vote of a guard on a claim.
enum class Vote : std::uint8_t {
    Pending,
    Granted,
    Denied,
    Abstained,
};

/// A claim that waits for votes.
struct PendingClaim {
    GuardKey key;
    Duration window{0};
    Time deadline;
    Time retryAt; ///< when vote requests are repeated
    std::vector<HostSet> sets; ///< the guards of the key by each host list; a majority of each set is needed
    std::map<HostId, Vote> votes; ///< by guard, for all sets
    HostId holder; ///< the host whose claim holds the key, by the last vote that denied
};

/// A run that this host was granted.
struct GrantedRun {
    ClaimId claim = 0;
    std::vector<HostId> guards;
    bool completed = false;
    Time expiresAt; ///< when the run no longer counts for the key
};

/// The state of a KeyGuard.
struct KeyGuard::Impl {
    HostId self;
    GuardSettings settings;
    HostListHistory hostLists;
    GuardRecovery recovery;
    GrantTable grants;
    std::map<ClaimId, PendingClaim> claims;
    std::unordered_map<GuardKey, GrantedRun, GuardKeyHash> runs;
    std::multimap<Time, GuardKey> runExpiries;
    std::deque<std::pair<ClaimId, GuardKey>> releasedClaims; ///< closed without a run
    ClaimId lastClaim;
    Time nextHousekeeping;
    std::vector<HostId> listed; ///< as last set; becomes the current list later if too many earlier lists are stored
    std::size_t nextHostListRequest = 0; ///< rotates over the hosts that are asked for their list
    std::deque<GuardMessage> toSelf; ///< messages between this host's claims and its own guard

    Impl(HostId selfId, const GuardSettings &guardSettings, std::uint64_t seed, Time now)
        : self(selfId)
        , settings(guardSettings)
        , hostLists(selfId, guardSettings.guardsPerKey, reservationTime(guardSettings.maxWindow), guardSettings.listGiveUp)
        , recovery(selfId, guardSettings, seed, now)
        , lastClaim(mixBits(seed))
        , nextHousekeeping(now)
    {
    }

    // How long a grant reserves its key: the run may start as late as a lease after the vote, and the 64th allows for
    // differing clock rates.
    Duration reservationTime(Duration window) const
    {
        return window + window / 64 + settings.lease;
    }

    void send(HostId to, GuardMessage message, Outbox<GuardMessage> &outbox);
    void deliverToSelf(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void dispatch(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    // Claims, in key_guard_claims.cpp.
    bool decideLocally(ClaimId id, const GuardKey &key, Time now, GuardDecisions &decisions) const;
    void addGuardSet(ClaimId id, PendingClaim &claim, const HostSet &set, Outbox<GuardMessage> &outbox);
    bool addNewGuardSets(ClaimId id, PendingClaim &claim, Time now, Outbox<GuardMessage> &outbox);
    void sendVoteRequest(ClaimId id, const PendingClaim &claim, HostId guard, Outbox<GuardMessage> &outbox);
    void receiveVote(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void evaluate(ClaimId id, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void grantRun(ClaimId id, Time now, GuardDecisions &decisions);
    void failClaim(ClaimId id, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void sendRelease(HostId guard, ClaimId id, const GuardKey &key, Outbox<GuardMessage> &outbox);
    void recordReleased(ClaimId id, const GuardKey &key);

    // Votes and host lists, in key_guard.cpp.
    void requestHostLists(Outbox<GuardMessage> &outbox);
    void recordHostList(HostId from, const GuardMessage &message, Time now);
    GuardMessage voteOn(HostId from, const GuardMessage &message, Time now);
    GuardMessageKind grantOrDeny(HostId from, const GuardMessage &message, const std::vector<HostSet> &sets, Time now, HostId &holder);
};

} // namespace medlarway
