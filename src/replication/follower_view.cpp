// The view of the hosts of the own zone.
#include "replication/follower.h"

#include <algorithm>

namespace medlarway
{

// Hosts may have come and gone meanwhile. Many hosts that were cut off from each other would otherwise all choose themselves as the first
// message arrives.
void Follower::recordContactGap(Time lastContact, Time now)
{
    if (hosts_.lastContactInZone() != lastContact && now - lastContact > maxViewAge()) {
        settledAt_ = std::max(settledAt_, now + kViewSettleTime);
    }
}

void Follower::recordReply(const FeedReply &reply, Time now)
{
    for (const auto &host : reply.hosts) {
        hosts_.recordReported(host, now);
        selfReportedAt_ = host.id == options_.self ? now : selfReportedAt_;
    }
    if (now - lastReplyAt_ > kMaxReportAge) {
        settledAt_ = std::max(settledAt_, now + kViewSettleTime);
    }
    lastReplyAt_ = now;
    lastReportAt_ = reply.sender ? now : lastReportAt_;
}

// A follower knows few hosts of a large zone: its reader, the first ones by rank, of which the reader tells, and those that asked it. So
// only the first by rank are in the view, which all know. A host that misses some of them would count itself among them.
ZoneView Follower::zoneView(Time now) const
{
    ZoneView view{options_.self, hosts_.ranked(options_.zone, kReportedHosts), zoneViewTrustedUntil(now), {}};
    view.endsUnknownUntil = hasOtherSeeds() || hosts_.countIn(options_.zone) > 1 ? endInquiry_.unknownUntil() : Time{};
    if (knownZoneHosts() > kReportedHosts && !isKnownToOthers(now)) {
        std::erase(view.hosts, options_.self);
    }
    return view;
}

bool Follower::isKnownToOthers(Time now) const
{
    return now < requestedUntil_ || now - selfReportedAt_ <= kMaxReportAge;
}

// A host that is cut off from all others seems to be the only one of its zone once they have expired. Without seeds it is.
Time Follower::zoneViewTrustedUntil(Time now) const
{
    const bool mayBeAlone = !hasOtherSeeds();
    const bool isReported = lastReportAt_ >= settledAt_ - kViewSettleTime;
    if (now < settledAt_ || confirmedAt_ == Time{} || (!isReported && !mayBeAlone)) {
        return Time{};
    }
    if (hosts_.countIn(options_.zone) > 1) {
        return std::min(confirmedAt_, hosts_.lastContactInZone()) + maxViewAge();
    }
    const auto repliedUntil = mayBeAlone ? Time::max() : lastReplyAt_ + kMaxReportAge;
    return std::min(confirmedAt_ + maxViewAge(), repliedUntil);
}

Duration Follower::maxViewAge() const
{
    return std::max(kMaxViewAge, 2 * options_.timing.requestHold);
}

} // namespace medlarway
