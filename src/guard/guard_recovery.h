#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "guard/grant_table.h"
#include "guard/guard_message.h"
#include "guard/host_list_history.h"
#include "guard/key_guard.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace medlarway
{

/// Recovers the grants that a restarted guard has lost: it requests them from the other guards of its keys. A guard
/// votes on a key only once it has recovered that key's grant or any lost grant for it must have expired.
class GuardRecovery
{
public:
    GuardRecovery(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now);

    /// True if no lost vote from before the start can still count for a key with these guard sets.
    bool canVoteOn(const std::vector<HostSet> &sets, Duration window, Time now) const;

    /// True if this guard can vote on every key, so that other guards may recover from it.
    bool isComplete(const HostListHistory &hostLists, Time now) const;

    /// Sets whether running hosts may use host lists from before the first one of this start.
    void setEarlierLists(EarlierLists earlier)
    {
        earlierLists_ = earlier;
    }

    /// Sends recovery requests if they are due, until time alone makes recovery complete.
    void request(const HostListHistory &hostLists, Time now, Outbox<GuardMessage> &outbox);

    /// Handles one part of a recovery response: stores its grants and host lists.
    void receive(HostId from, const GuardMessage &message, Time now, GrantTable &grants, HostListHistory &hostLists);

    /// When request must be called next.
    Time nextRequest() const
    {
        return nextRequest_;
    }

private:
    /// The parts received of one host's newest response. Parts of two responses are not combined.
    struct Response {
        std::uint64_t requestId = 0;
        std::uint32_t partCount = 0;
        std::set<std::uint32_t> receivedParts;
    };

    bool haveEarlierVotesExpired(Duration window, Time now) const;
    bool hasEnoughResponses(const std::vector<HostId> &hosts) const;

    HostId self_;
    GuardSettings settings_;
    Time startedAt_;
    EarlierLists earlierLists_ = EarlierLists::MayBeInUse;
    Time nextRequest_;
    std::uint64_t requestIdBase_; ///< requests since this start have higher ids
    std::uint64_t lastRequestId_;
    std::map<HostId, Response> responses_;
    std::set<HostId> completeHosts_; ///< hosts whose response has arrived whole
};

/// Responds to a RecoveryRequest with the known host lists only: this guard has not recovered itself.
void sendHostLists(HostId to, std::uint64_t requestId, const HostListHistory &hostLists, Outbox<GuardMessage> &outbox);

/// Responds to a RecoveryRequest with the grants for keys that the host guards by any known list, in parts.
void sendGrants(HostId to, std::uint64_t requestId, const GrantTable &grants, const HostListHistory &hostLists, Time now,
                Outbox<GuardMessage> &outbox);

} // namespace medlarway
