#include "steering/evacuations.h"

#include <algorithm>

namespace medlarway
{

std::string_view invalidEnds(std::span<const RecentEnd> ends)
{
    std::size_t nameBytes = 0;
    for (const auto &end : ends) {
        nameBytes += end.zone.name.size();
        if (end.zone.name.empty() || end.zone.name.size() > kMaxZoneBytes) {
            return "a zone's name is empty or too long";
        }
        if (end.ago < Duration{} || end.ago > kRecentEndAge) {
            return "an age is negative or too high";
        }
        if (!isKnown(end.revision) || end.begun > end.revision) {
            return "a revision is unknown or before that of the begin";
        }
    }
    return ends.size() > kMaxEndsInList || nameBytes > kMaxEndNamesBytes ? "too long" : "";
}

EvacuationChange ZoneEvacuations::apply(const ZoneEvacuation &offered, const ZoneTest &hasUpstreams, Time now)
{
    const auto &name = offered.zone.name;
    if (name.empty() || name.size() > kMaxZoneBytes) {
        return EvacuationChange::None;
    }
    // Step 1. A later change of the zone holds.
    const auto known = zones_.find(name);
    if (known != zones_.end() && offered.revision <= known->second.record.revision) {
        return EvacuationChange::None;
    }
    // Step 2. A repeated order continues the evacuation.
    const bool wasActive = known != zones_.end() && known->second.record.active;
    if (offered.active && wasActive) {
        known->second.record.revision = offered.revision;
        return EvacuationChange::None;
    }
    // Step 3. Keep within the bounds. The end of an unknown evacuation is kept too: a follower may have learned of it from another host.
    if (offered.active && !makeRoom(name, hasUpstreams)) {
        return EvacuationChange::LeftOut;
    }
    std::optional<End> end;
    if (wasActive) {
        end = End{now, offered.revision, known->second.record.revision};
    } else if (!offered.active && known != zones_.end()) {
        end = known->second.end;
    }
    zones_[name] = {offered, now, end};
    if (offered.active) {
        ++active_;
        return EvacuationChange::Begun;
    }
    active_ -= wasActive ? 1 : 0;
    forgetEnded();
    return wasActive ? EvacuationChange::Ended : EvacuationChange::None;
}

// Of the evacuations without upstreams, the latest is displaced, as a further one would be left out.
bool ZoneEvacuations::makeRoom(const std::string &zone, const ZoneTest &hasUpstreams)
{
    if (active_ < kMaxEvacuations) {
        return true;
    }
    if (!hasUpstreams(zone)) {
        return false;
    }
    auto latest = zones_.end();
    for (auto item = zones_.begin(); item != zones_.end(); ++item) {
        const bool isLater = latest == zones_.end() || item->second.record.revision > latest->second.record.revision;
        if (item->second.record.active && isLater && !hasUpstreams(item->first)) {
            latest = item;
        }
    }
    if (latest == zones_.end()) {
        return false;
    }
    zones_.erase(latest);
    --active_;
    return true;
}

void ZoneEvacuations::forgetEnded()
{
    while (zones_.size() - active_ > kMaxEndedEvacuations) {
        auto oldest = zones_.end();
        for (auto item = zones_.begin(); item != zones_.end(); ++item) {
            const bool isOlder = oldest == zones_.end() || item->second.record.revision < oldest->second.record.revision;
            if (!item->second.record.active && isOlder) {
                oldest = item;
            }
        }
        forgottenUpTo_ = std::max(forgottenUpTo_, oldest->second.record.revision);
        zones_.erase(oldest);
    }
}

bool ZoneEvacuations::isOutdated(const ZoneEvacuation &offered, const Revision &asOf) const
{
    const auto *known = find(offered.zone.name);
    const auto endedBy = known == nullptr ? std::max(forgottenUpTo_, listedAt_) : listedAt_;
    const bool isActive = known != nullptr && known->record.active;
    return offered.active && !isActive && std::max(asOf, offered.revision) < endedBy;
}

bool ZoneEvacuations::endUnlisted(std::span<const ZoneEvacuation> listed, const Revision &asOf, Time now)
{
    listedAt_ = std::max(listedAt_, asOf);
    bool ended = false;
    for (auto &[name, known] : zones_) {
        if (!known.record.active || known.record.revision > asOf) {
            continue;
        }
        const bool isListed = std::any_of(listed.begin(), listed.end(), [&name = name](const auto &evacuation) {
            return evacuation.active && evacuation.zone.name == name;
        });
        if (!isListed) {
            known = {{known.record.zone, false, asOf}, now, End{now, asOf, known.record.revision}};
            --active_;
            ended = true;
        }
    }
    forgetEnded();
    return ended;
}

// Hosts that learn of an end in different ways record it with different revisions and times, so only the begin shows whether the end is
// that of a later evacuation.
std::optional<Time> ZoneEvacuations::recordRecentEnd(const RecentEnd &end, Time now)
{
    const auto known = zones_.find(end.zone.name);
    const bool isRecent = end.ago >= Duration{} && end.ago <= kRecentEndAge;
    if (!isRecent || known == zones_.end() || known->second.record.active) {
        return std::nullopt;
    }
    if (known->second.end && end.begun <= known->second.end->revision) {
        return std::nullopt;
    }
    known->second.end = End{now - end.ago, end.revision, end.begun};
    return known->second.end->at;
}

std::vector<RecentEnd> ZoneEvacuations::recentEnds(const Revision &after, Time now) const
{
    std::vector<RecentEnd> ends;
    for (const auto &[name, known] : zones_) {
        if (known.end && known.end->revision > after && now - known.end->at <= kRecentEndAge) {
            ends.push_back({known.record.zone, known.end->revision, now - known.end->at, known.end->begun});
        }
    }
    return ends;
}

bool ZoneEvacuations::isActive(std::string_view zone) const
{
    const auto *known = find(zone);
    return known != nullptr && known->record.active;
}

const ZoneEvacuations::Known *ZoneEvacuations::find(std::string_view zone) const
{
    const auto found = zones_.find(zone);
    return found == zones_.end() ? nullptr : &found->second;
}

std::vector<ZoneEvacuation> ZoneEvacuations::active() const
{
    std::vector<ZoneEvacuation> records;
    for (const auto &[name, known] : zones_) {
        if (known.record.active) {
            records.push_back(known.record);
        }
    }
    return records;
}

std::vector<ZoneEvacuation> ZoneEvacuations::changedAfter(const Revision &revision) const
{
    std::vector<ZoneEvacuation> records;
    for (const auto &[name, known] : zones_) {
        if (known.record.revision > revision) {
            records.push_back(known.record);
        }
    }
    return records;
}

} // namespace medlarway
