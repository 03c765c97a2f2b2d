#pragma once

#include "base/time.h"
#include "membership/membership.h"
#include "membership/peer_life.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace medlarway
{

/// What one host knows of another.
struct Peer {
    AvailabilityZone zone;
    bool listed = true;
    bool listedLeaving = false; ///< the platform says that it leaves
    Time suspectUntil; ///< when a suspect is removed
    PeerLife life;

    bool isMember() const
    {
        return life.phase != PeerPhase::Absent;
    }
    bool isSuspect() const
    {
        return life.phase == PeerPhase::Suspect || life.phase == PeerPhase::LeavingSuspect;
    }
    bool isLeaving() const
    {
        return listedLeaving || life.phase == PeerPhase::Leaving || life.phase == PeerPhase::LeavingSuspect;
    }
};

/// All peers of one host, what changed, and which zones are lost. Pure state; no messages.
class PeerTable
{
public:
    PeerTable(HostId self, AvailabilityZone zone);

    /// Takes the platform's list. Returns hosts that were not known before.
    void setListed(const std::vector<ListedHost> &hosts);

    /// Applies a claim; true where it changed the peer. Claims of unknown hosts change nothing.
    bool apply(const MembershipUpdate &update, Time now, Duration suspicion);

    /// Removes the suspects whose time is over.
    void expire(Time now);

    /// Gives every suspect the whole time again, as after a pause of this host.
    void restartSuspicions(Time now, Duration suspicion);

    /// The peer; nullptr where the host is not known.
    const Peer *find(HostId host) const;

    const std::map<HostId, Peer> &peers() const
    {
        return peers_;
    }

    /// True where the platform's list says that this host itself is leaving.
    bool selfListedLeaving() const
    {
        return selfListedLeaving_;
    }

    /// How many peers are members.
    std::size_t memberCount() const
    {
        return memberCount_;
    }

    /// How many members are suspect.
    std::size_t suspectCount() const
    {
        return suspectCount_;
    }

    /// The changes since the last call.
    std::vector<MembershipNews> takeNews();

    /// True once after each change of a member.
    bool takeChanged();

    /// Adds to the news.
    void addNews(MembershipNewsKind kind, HostId host, const AvailabilityZone &zone);

private:
    void noteChange(HostId host, const Peer &peer, PeerPhase before, bool expired);
    void noteZone(const AvailabilityZone &zone, bool removed);

    HostId self_;
    AvailabilityZone zone_;
    std::map<HostId, Peer> peers_;
    std::set<AvailabilityZone> lostZones_;
    std::vector<MembershipNews> news_;
    std::size_t memberCount_ = 0;
    std::size_t suspectCount_ = 0;
    bool selfListedLeaving_ = false;
    bool changed_ = true;
};

} // namespace medlarway
