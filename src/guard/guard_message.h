#pragma once

#include "base/host.h"
#include "base/time.h"
#include "guard/verdict.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// The kinds of messages between key guards. A claim is one host's attempt to obtain the right to run the request
/// with a key; the guards of the key vote on it.
enum class GuardMessageKind : std::uint8_t {
    VoteRequest, ///< asks a guard of the key to vote on a claim
    Granted, ///< vote: the guard reserves the key for this claim until the window has passed
    Denied, ///< vote: the guard has reserved the key for another claim, which may have run
    Abstained, ///< vote: the guard may have lost an earlier grant for the key in a restart, or its grant table is full
    Release, ///< the claim did not run and won't; its grant is void
    RecoveryRequest, ///< a restarted guard requests the grants for keys that it guards too
    RecoveryResponse, ///< grants that the sender holds for keys that the receiver guards too, in parts
    HostListRequest, ///< asks which host list the receiver uses
    HostListResponse, ///< carries hostListHash as every message does, and the host lists known if the sender has recovered
};

/// The highest value that a message may carry.
constexpr GuardMessageKind highestOf(GuardMessageKind /*type*/)
{
    return GuardMessageKind::HostListResponse;
}

/// A grant as it is transferred to a guard that recovers.
struct GrantRecord {
    GuardKey key;
    HostId claimant;
    std::uint64_t claim = 0;
    Duration remaining{0}; ///< time until the grant expires

    friend bool operator==(const GrantRecord &, const GrantRecord &) = default;
};

/// The guards of a key according to one host list, or a whole host list.
struct HostSet {
    std::vector<HostId> hosts;

    friend bool operator==(const HostSet &, const HostSet &) = default;
};

/// A message between the key guards of two hosts. The order of the fields is the encoding.
struct GuardMessage {
    GuardMessageKind kind = GuardMessageKind::VoteRequest;
    std::uint64_t id = 0; ///< of the claim, given by the claimant; in recovery messages of the recovery request
    GuardKey key;
    Duration window{0}; ///< VoteRequest: how long the key is to be reserved
    HostId holder; ///< Denied: the host whose claim holds the key
    std::vector<HostSet> hostSets; ///< votes: the key's guards by each list known; recovery and host list responses: these lists
    std::uint64_t hostListHash = 0; ///< hash of the host list that the sender uses
    std::vector<GrantRecord> grants; ///< RecoveryResponse: at most kMaxGrantsPerMessage
    std::uint32_t part = 0; ///< RecoveryResponse: index of this part, from 0
    std::uint32_t partCount = 0; ///< RecoveryResponse: 0 if the sender has not recovered and sends its host lists only

    friend bool operator==(const GuardMessage &, const GuardMessage &) = default;
};

/// Grants per message; a message with more is ignored.
inline constexpr std::size_t kMaxGrantsPerMessage = 32;

} // namespace medlarway
