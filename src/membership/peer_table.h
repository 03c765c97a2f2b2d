#pragma once

#include "base/time.h"
#include "membership/membership.h"
#include "membership/peer_state_machine.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarway
{

/// State that a host keeps for one peer.
struct Peer {
    AvailabilityZone zone;
    bool listed = true; ///< on the platform's current host list
    bool listedLeaving = false; ///< marked as leaving on the platform's host list
    Time suspicionDeadline; ///< when a suspect is removed unless it refutes; unused in other states
    PeerStateMachine machine;

    bool isMember() const
    {
        return machine.state != PeerState::Absent;
    }
    bool isSuspect() const
    {
        return machine.state == PeerState::Suspect || machine.state == PeerState::LeavingSuspect;
    }
    bool isLeaving() const
    {
        return listedLeaving || machine.state == PeerState::Leaving || machine.state == PeerState::LeavingSuspect;
    }
};

/// All peers of one host, the events of their changes, and the lost availability zones. Sends no messages.
class PeerTable
{
public:
    PeerTable(HostId self, AvailabilityZone zone);

    /// Applies the platform's host list.
    void setListed(const std::vector<ListedHost> &hosts);

    /// Applies an update; returns true if it changed the peer. Updates about unknown hosts are ignored.
    bool apply(const MembershipUpdate &update, Time now, Duration suspicionTimeout);

    /// Removes the suspects whose suspicion timeout has expired.
    void expireSuspects(Time now);

    /// Restarts the suspicion timeout of every suspect; used after a pause of this host.
    void restartSuspicionTimeouts(Time now, Duration suspicionTimeout);

    /// The peer; nullptr if the host is unknown.
    const Peer *find(HostId host) const;

    const std::map<HostId, Peer> &peers() const
    {
        return peers_;
    }

    /// True if the platform's list marks this host itself as leaving.
    bool selfListedLeaving() const
    {
        return selfListedLeaving_;
    }

    /// Number of peers that are members, suspects included.
    std::size_t memberCount() const
    {
        return memberCount_;
    }

    /// Number of members that are suspects.
    std::size_t suspectCount() const
    {
        return suspectCount_;
    }

    /// Returns and clears the events since the last call.
    std::vector<MembershipEvent> takeEvents();

    /// True if a member changed since the last call.
    bool takeChanged();

    /// Appends an event.
    void addEvent(MembershipEventKind kind, HostId host, const AvailabilityZone &zone);

private:
    void recordTransition(HostId host, const Peer &peer, PeerState before, bool expired);
    void updateLostZones(const AvailabilityZone &zone, bool removed);

    HostId self_;
    AvailabilityZone zone_;
    std::map<HostId, Peer> peers_;
    std::set<AvailabilityZone> lostZones_;
    std::vector<MembershipEvent> events_;
    std::size_t memberCount_ = 0;
    std::size_t suspectCount_ = 0;
    bool selfListedLeaving_ = false;
    bool changed_ = true;
};

} // namespace medlarway
