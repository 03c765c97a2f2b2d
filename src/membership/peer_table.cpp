#include "membership/peer_table.h"

#include <utility>

namespace medlarway
{

namespace
{

bool processUpdate(PeerStateMachine &machine, const MembershipUpdate &update)
{
    switch (update.kind) {
    case MembershipUpdateKind::Alive:
        return update.leaving ? processEvent(machine, LeavingUpdate{update.incarnation})
                              : processEvent(machine, AliveUpdate{update.incarnation});
    case MembershipUpdateKind::Suspect:
        return processEvent(machine, SuspectUpdate{update.incarnation});
    case MembershipUpdateKind::Left:
        return processEvent(machine, LeftUpdate{update.incarnation});
    }
    return false;
}

} // namespace

PeerTable::PeerTable(HostId self, AvailabilityZone zone)
    : self_(self)
    , zone_(std::move(zone))
{
}

// The list may be out of date, so it only limits which hosts may join: a host that is no longer listed
// remains a member while it responds, and is erased once it is not a member.
void PeerTable::setListed(const std::vector<ListedHost> &hosts)
{
    for (auto &[id, peer] : peers_) {
        peer.listed = false;
    }
    const bool wasLeaving = std::exchange(selfListedLeaving_, false);
    for (const auto &host : hosts) {
        const auto id = hostIdOf(host.address);
        if (id == self_) {
            selfListedLeaving_ = host.leaving;
            continue;
        }
        auto &peer = peers_[id];
        const bool newlyLeaving = host.leaving && !peer.isLeaving();
        changed_ = changed_ || (peer.isMember() && (peer.zone != host.zone || peer.listedLeaving != host.leaving));
        peer.zone = host.zone;
        peer.listed = true;
        peer.listedLeaving = host.leaving;
        if (newlyLeaving && peer.isMember()) {
            addEvent(MembershipEventKind::Leaving, id, peer.zone);
        }
    }
    changed_ = changed_ || wasLeaving != selfListedLeaving_;
    std::erase_if(peers_, [](const auto &entry) { return !entry.second.listed && !entry.second.isMember(); });
}

bool PeerTable::apply(const MembershipUpdate &update, Time now, Duration suspicionTimeout)
{
    const auto found = peers_.find(update.host);
    if (found == peers_.end()) {
        return false;
    }
    auto &peer = found->second;
    const auto before = peer.machine.state;
    const bool wasSuspect = peer.isSuspect();
    if (!processUpdate(peer.machine, update)) {
        return false;
    }
    if (peer.isSuspect() && !wasSuspect) {
        peer.suspicionDeadline = now + suspicionTimeout;
    }
    recordTransition(update.host, peer, before, false);
    if (!peer.listed && !peer.isMember()) {
        peers_.erase(found);
    }
    return true;
}

void PeerTable::expireSuspects(Time now)
{
    if (suspectCount_ == 0) {
        return;
    }
    for (auto &[id, peer] : peers_) {
        if (!peer.isSuspect() || peer.suspicionDeadline > now) {
            continue;
        }
        const auto before = peer.machine.state;
        processEvent(peer.machine, SuspicionTimeout{});
        recordTransition(id, peer, before, true);
    }
    std::erase_if(peers_, [](const auto &entry) { return !entry.second.listed && !entry.second.isMember(); });
}

void PeerTable::restartSuspicionTimeouts(Time now, Duration suspicionTimeout)
{
    for (auto &[id, peer] : peers_) {
        peer.suspicionDeadline = now + suspicionTimeout;
    }
}

const Peer *PeerTable::find(HostId host) const
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second;
}

std::vector<MembershipEvent> PeerTable::takeEvents()
{
    return std::exchange(events_, {});
}

bool PeerTable::takeChanged()
{
    return std::exchange(changed_, false);
}

void PeerTable::addEvent(MembershipEventKind kind, HostId host, const AvailabilityZone &zone)
{
    events_.push_back(MembershipEvent{kind, host, zone});
}

// Updates the counters and emits events for a state transition. `expired` distinguishes a removal
// after the suspicion timeout from a host that announced its shutdown.
void PeerTable::recordTransition(HostId host, const Peer &peer, PeerState before, bool expired)
{
    changed_ = true;
    const auto after = peer.machine.state;
    if (before == after) {
        return;
    }
    if (before == PeerState::Absent) {
        ++memberCount_;
        addEvent(MembershipEventKind::Joined, host, peer.zone);
    }
    if (after == PeerState::Absent) {
        --memberCount_;
    }
    const bool wasSuspect = before == PeerState::Suspect || before == PeerState::LeavingSuspect;
    suspectCount_ = suspectCount_ + (peer.isSuspect() ? 1 : 0) - (wasSuspect ? 1 : 0);
    if (after == PeerState::Absent) {
        addEvent(expired ? MembershipEventKind::Removed : MembershipEventKind::Left, host, peer.zone);
    } else if (peer.isSuspect()) {
        addEvent(MembershipEventKind::Suspected, host, peer.zone);
    } else if (after == PeerState::Leaving && !wasSuspect) {
        addEvent(MembershipEventKind::Leaving, host, peer.zone);
    }
    updateLostZones(peer.zone, expired);
}

// A zone is lost when none of its hosts responds and one of them was removed after a suspicion. If a single
// host fails, other hosts of its zone still respond, and a planned shutdown is not a removal.
void PeerTable::updateLostZones(const AvailabilityZone &zone, bool removed)
{
    if (zone == zone_) {
        return;
    }
    bool answers = false;
    for (const auto &[id, peer] : peers_) {
        answers = answers || (peer.zone == zone && peer.isMember() && !peer.isSuspect());
    }
    if (answers && lostZones_.erase(zone) > 0) {
        addEvent(MembershipEventKind::ZoneReturned, HostId{}, zone);
    } else if (!answers && removed && lostZones_.insert(zone).second) {
        addEvent(MembershipEventKind::ZoneLost, HostId{}, zone);
    }
}

} // namespace medlarway
