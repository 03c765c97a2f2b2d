#pragma once

#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// What one host says of another.
enum class PeerClaim : std::uint8_t {
    Alive, ///< it answered, or it says so itself
    Suspect, ///< it missed its probes
    Left, ///< it said that it ends
};

/// One host's state as another tells it. The higher incarnation wins; within one Left beats Suspect beats Alive.
struct MembershipUpdate {
    HostId host;
    std::uint64_t incarnation = 0;
    PeerClaim claim = PeerClaim::Alive;
    bool leaving = false;

    friend bool operator==(const MembershipUpdate &, const MembershipUpdate &) = default;
};

/// What a membership message asks or answers.
enum class MembershipMessageKind : std::uint8_t {
    Probe, ///< answer with Ack
    Ack, ///< answers a Probe
    ProbeRequest, ///< probe the target for me
    RelayedAck, ///< the target answered the probe that was asked for
    Sync, ///< tell the members that follow the target in the order of ids
    SyncReply, ///< answers a Sync; the target is where to go on, 0 at the end of the list
    Notice, ///< carries updates only, unanswered
};

/// The highest values that a message may carry.
constexpr PeerClaim highestOf(PeerClaim /*type*/)
{
    return PeerClaim::Left;
}
constexpr MembershipMessageKind highestOf(MembershipMessageKind /*type*/)
{
    return MembershipMessageKind::Notice;
}

/// The one message between two membership cores. A plain aggregate, at most kSyncEntries updates.
struct MembershipMessage {
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    std::uint64_t sequence = 0; ///< names the probe or sync that is asked or answered
    std::uint64_t incarnation = 0; ///< the sender's
    bool leaving = false; ///< the sender's
    bool fresh = false; ///< the sender's view is confirmed
    HostId origin; ///< who asked for a relayed probe; 0 where none is
    HostId target; ///< meaning by kind
    std::vector<MembershipUpdate> updates;

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

/// The most updates that a SyncReply carries.
inline constexpr std::size_t kSyncEntries = 48;

} // namespace medlarway
