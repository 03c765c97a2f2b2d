#pragma once

#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// The status that an update reports about a host.
enum class MembershipUpdateKind : std::uint8_t {
    Alive, ///< the host responded to a probe or announced itself
    Suspect, ///< the host did not acknowledge its probes
    Left, ///< the host announced that it is shutting down
};

/// One host's state as reported by another host. The higher incarnation takes precedence; at equal
/// incarnations Left overrides Suspect, and Suspect overrides Alive.
struct MembershipUpdate {
    HostId host;
    std::uint64_t incarnation = 0;
    MembershipUpdateKind kind = MembershipUpdateKind::Alive;
    bool leaving = false; ///< evaluated with Alive only: the host is draining before a planned shutdown

    friend bool operator==(const MembershipUpdate &, const MembershipUpdate &) = default;
};

/// The type of a membership message.
enum class MembershipMessageKind : std::uint8_t {
    Probe, ///< liveness check; the receiver responds with Ack
    Ack, ///< response to a Probe
    ProbeRequest, ///< asks the receiver to probe the target on behalf of the sender (indirect probe)
    RelayedAck, ///< response to a ProbeRequest: the target acknowledged the indirect probe
    Sync, ///< requests the members whose ids follow the target
    SyncReply, ///< response to a Sync; the target is the cursor for the next Sync, 0 at the end of the list
    Notice, ///< carries updates only and has no response
};

/// Upper bounds that the codec checks when it decodes an enumerator.
constexpr MembershipUpdateKind highestOf(MembershipUpdateKind /*type*/)
{
    return MembershipUpdateKind::Left;
}
constexpr MembershipMessageKind highestOf(MembershipMessageKind /*type*/)
{
    return MembershipMessageKind::Notice;
}

/// The only message type between two membership cores. A plain aggregate, encoded in the order of its fields.
/// Carries at most kMaxSyncUpdates updates, and in addition one about the receiver that it has to refute.
struct MembershipMessage {
    MembershipMessageKind kind = MembershipMessageKind::Probe;
    std::uint64_t sequence = 0; ///< matches an Ack, RelayedAck or SyncReply to its request
    std::uint64_t incarnation = 0; ///< the sender's own incarnation
    bool leaving = false; ///< the sender is draining before a planned shutdown
    bool fresh = false; ///< the sender's view has been confirmed by its peers
    HostId origin; ///< the host that requested this indirect probe; 0 for a direct probe
    HostId target; ///< the probed host, or the cursor of a sync, depending on the kind
    std::vector<MembershipUpdate> updates;

    friend bool operator==(const MembershipMessage &, const MembershipMessage &) = default;
};

/// Maximum number of members in one SyncReply.
inline constexpr std::size_t kMaxSyncUpdates = 48;

} // namespace medlarway
