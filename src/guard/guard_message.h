#pragma once

#include "base/host.h"
#include "base/time.h"
#include "guard/verdict.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// What hosts tell each other about idempotency keys.
enum class GuardMessageKind : std::uint8_t {
    Ask, ///< may this request run? The receiver is a guard of its key
    Granted, ///< the guard keeps the key for this ask until the window has passed
    Denied, ///< the guard keeps the key for another ask, which may have run
    NoVote, ///< the guard can't say: it started too recently, or its list of hosts differs
    Release, ///< the ask did not run and won't; the key is free again
    MemoryRequest, ///< the sender started with an empty memory and asks for the keys that it guards too
    Memory, ///< keys that the sender keeps and the receiver guards too, in parts
    RosterRequest, ///< which list of hosts does the receiver use?
    Roster, ///< answers RosterRequest by the field roster, and names the lists that the sender knows unless it has forgotten some
};

/// The highest value that a message may carry.
constexpr GuardMessageKind highestOf(GuardMessageKind /*type*/)
{
    return GuardMessageKind::Roster;
}

/// A key that a guard keeps for an ask.
struct KeptKey {
    GuardKey key;
    HostId asker;
    std::uint64_t ask = 0;
    Duration remaining{0}; ///< how long it is still kept

    friend bool operator==(const KeptKey &, const KeptKey &) = default;
};

/// The guards of a key by one list of hosts, or the list itself.
struct GuardSet {
    std::vector<HostId> hosts;

    friend bool operator==(const GuardSet &, const GuardSet &) = default;
};

/// A message between the key guards of two hosts.
struct GuardMessage {
    GuardMessageKind kind = GuardMessageKind::Ask;
    std::uint64_t ask = 0; ///< the asker's number of the ask; of MemoryRequest and Memory: of the request
    GuardKey key;
    Duration window{0}; ///< of Ask: how long the key is to be kept
    HostId holder; ///< of Denied: the host whose ask has the key
    std::vector<GuardSet> guards; ///< of votes: the sets of guards of the key by the lists known; of Memory and Roster: these lists
    std::uint64_t roster = 0; ///< hash of the list of hosts that the sender uses
    std::vector<KeptKey> memory; ///< of Memory, at most kKeysPerMessage
    std::uint32_t part = 0; ///< of Memory: counted from 0
    std::uint32_t parts = 0; ///< of Memory: how many there are

    friend bool operator==(const GuardMessage &, const GuardMessage &) = default;
};

/// The most keys that one message carries; a longer message is ignored.
inline constexpr std::size_t kKeysPerMessage = 32;

} // namespace medlarway
