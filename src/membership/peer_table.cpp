#include "membership/peer_table.h"

#include <utility>

namespace medlarway
{

namespace
{

bool processClaim(PeerLife &life, const MembershipUpdate &update)
{
    switch (update.claim) {
    case PeerClaim::Alive:
        return update.leaving ? happened(life, PeerAnnouncedLeaving{update.incarnation})
                              : happened(life, PeerAnnounced{update.incarnation});
    case PeerClaim::Suspect:
        return happened(life, PeerAccused{update.incarnation});
    case PeerClaim::Left:
        return happened(life, PeerDeparted{update.incarnation});
    }
    return false;
}

} // namespace

PeerTable::PeerTable(HostId self, AvailabilityZone zone)
    : self_(self)
    , zone_(std::move(zone))
{
}

// The list lags, so it only bounds who may join: a host that left the list stays
// while it answers, and is forgotten once it is no member.
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
            addNews(MembershipNewsKind::Leaving, id, peer.zone);
        }
    }
    changed_ = changed_ || wasLeaving != selfListedLeaving_;
    std::erase_if(peers_, [](const auto &entry) { return !entry.second.listed && !entry.second.isMember(); });
}

bool PeerTable::apply(const MembershipUpdate &update, Time now, Duration suspicion)
{
    const auto found = peers_.find(update.host);
    if (found == peers_.end()) {
        return false;
    }
    auto &peer = found->second;
    const auto before = peer.life.phase;
    const bool wasSuspect = peer.isSuspect();
    if (!processClaim(peer.life, update)) {
        return false;
    }
    if (peer.isSuspect() && !wasSuspect) {
        peer.suspectUntil = now + suspicion;
    }
    noteChange(update.host, peer, before, false);
    if (!peer.listed && !peer.isMember()) {
        peers_.erase(found);
    }
    return true;
}

void PeerTable::expire(Time now)
{
    if (suspectCount_ == 0) {
        return;
    }
    for (auto &[id, peer] : peers_) {
        if (!peer.isSuspect() || peer.suspectUntil > now) {
            continue;
        }
        const auto before = peer.life.phase;
        happened(peer.life, PeerExpired{});
        noteChange(id, peer, before, true);
    }
    std::erase_if(peers_, [](const auto &entry) { return !entry.second.listed && !entry.second.isMember(); });
}

void PeerTable::restartSuspicions(Time now, Duration suspicion)
{
    for (auto &[id, peer] : peers_) {
        peer.suspectUntil = now + suspicion;
    }
}

const Peer *PeerTable::find(HostId host) const
{
    const auto found = peers_.find(host);
    return found == peers_.end() ? nullptr : &found->second;
}

std::vector<MembershipNews> PeerTable::takeNews()
{
    return std::exchange(news_, {});
}

bool PeerTable::takeChanged()
{
    return std::exchange(changed_, false);
}

void PeerTable::addNews(MembershipNewsKind kind, HostId host, const AvailabilityZone &zone)
{
    news_.push_back(MembershipNews{kind, host, zone});
}

// Turns a change of phase into news. Expired tells a removal from a host that said that it ends.
void PeerTable::noteChange(HostId host, const Peer &peer, PeerPhase before, bool expired)
{
    changed_ = true;
    const auto after = peer.life.phase;
    if (before == after) {
        return;
    }
    if (before == PeerPhase::Absent) {
        ++memberCount_;
        addNews(MembershipNewsKind::Joined, host, peer.zone);
    }
    if (after == PeerPhase::Absent) {
        --memberCount_;
    }
    const bool wasSuspect = before == PeerPhase::Suspect || before == PeerPhase::LeavingSuspect;
    suspectCount_ = suspectCount_ + (peer.isSuspect() ? 1 : 0) - (wasSuspect ? 1 : 0);
    if (after == PeerPhase::Absent) {
        addNews(expired ? MembershipNewsKind::Removed : MembershipNewsKind::Left, host, peer.zone);
    } else if (peer.isSuspect()) {
        addNews(MembershipNewsKind::Suspected, host, peer.zone);
    } else if (after == PeerPhase::Leaving && !wasSuspect) {
        addNews(MembershipNewsKind::Leaving, host, peer.zone);
    }
    noteZone(peer.zone, expired);
}

// A zone is lost when none of its hosts answers and one of them was removed: single
// hosts that fail leave others that answer, and a planned stop removes nobody.
void PeerTable::noteZone(const AvailabilityZone &zone, bool removed)
{
    if (zone == zone_) {
        return;
    }
    bool answers = false;
    for (const auto &[id, peer] : peers_) {
        answers = answers || (peer.zone == zone && peer.isMember() && !peer.isSuspect());
    }
    if (answers && lostZones_.erase(zone) > 0) {
        addNews(MembershipNewsKind::ZoneReturned, HostId{}, zone);
    } else if (!answers && removed && lostZones_.insert(zone).second) {
        addNews(MembershipNewsKind::ZoneLost, HostId{}, zone);
    }
}

} // namespace medlarway
