#include "steering/directory.h"

#include "steering/liveness.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_set.hpp>
#include <utility>

namespace medlarway
{

void UpstreamDirectory::setServices(std::vector<std::string> services)
{
    services_ = std::move(services);
}

bool UpstreamDirectory::serviceExists(const std::string &service) const
{
    return services_.empty() || std::find(services_.begin(), services_.end(), service) != services_.end();
}

void UpstreamDirectory::applyParked(Time now)
{
    std::vector<UpstreamEntry> due;
    for (const auto &[id, entry] : parked_) {
        if (serviceExists(entry.service)) {
            due.push_back(entry);
        }
    }
    for (const auto &entry : due) {
        apply(entry, now);
    }
}

// A configuration that names the service may follow. Until then the last good entry holds for the upstream's open flows.
bool UpstreamDirectory::park(const UpstreamEntry &entry, Time now)
{
    const auto index = findById(entry.id);
    if (index != kNoUpstream && entry.revision < upstreams_[index].entry.revision) {
        return false;
    }
    remove(entry.id, entry.revision, now);
    parked_[entry.id] = entry;
    updateTokens(entry.id);
    return true;
}

// False if a later entry is parked.
bool UpstreamDirectory::unpark(std::string_view id, const Revision &revision)
{
    const auto found = parked_.find(std::string(id));
    if (found == parked_.end()) {
        return true;
    }
    if (revision < found->second.revision) {
        return false;
    }
    parked_.erase(found);
    updateTokens(id);
    return true;
}

bool UpstreamDirectory::apply(const UpstreamEntry &offered, Time now)
{
    auto entry = offered;
    auto index = findById(entry.id);
    const bool added = index == kNoUpstream;
    if (added && entry.revision.era < eraReadAt_.era) {
        return false;
    }
    if (!unpark(entry.id, entry.revision)) {
        return false;
    }
    if (!serviceExists(entry.service)) {
        return park(entry, now);
    }
    if (added) {
        index = add(entry);
    }
    auto &record = upstreams_[index];
    if (entry.revision < record.entry.revision) {
        return false;
    }
    // Step 1. An older copy of the platform's data may precede a restart or the report that the upstream drains.
    if (entry.revision.era > record.entry.revision.era) {
        if (entry.startMs != 0 && entry.startMs < record.entry.startMs) {
            return false;
        }
        entry.draining = entry.draining || (record.entry.draining && entry.startMs == record.entry.startMs);
    }
    // Step 2. A restarted upstream has lost the flows of the previous process.
    if (entry.startMs != record.entry.startMs) {
        record.liveness = Liveness{};
        record.running = 0;
        record.warmUp.usableUntil = Time{}; // another host may be chosen for the new process
    }
    // Step 3. A relisted upstream keeps its record and its flows.
    const bool relisted = !added && record.presence != Presence::Listed;
    const bool moved = record.entry.service != entry.service;
    if (relisted) {
        record.presence = Presence::Listed;
        record.changedAt = now;
    }
    if (record.entry.address != entry.address || record.entry.startMs != entry.startMs) {
        record.contestedAt.reset();
    }
    setZone(record, entry.zone);
    if (moved || record.entry.zone != entry.zone) {
        record.pool = UpstreamRecord{}.pool;
    }
    record.entry = entry;
    record.warmUntil = std::max(now + entry.warmUpLeft, record.warmUp.zoneReturnUntil);
    updateSynLimit(record);
    updateZoneReturn(record);
    claimAddress(index, now);
    if (added || relisted || moved) {
        rebuildServiceIndex();
    }
    return true;
}

void UpstreamDirectory::setWarmUpLimits(WarmUpLimits limits)
{
    warmUpLimits_ = std::move(limits);
    for (auto &record : upstreams_) {
        updateSynLimit(record);
        updateZoneReturn(record);
    }
}

void UpstreamDirectory::updateSynLimit(UpstreamRecord &record) const
{
    const auto *limit = warmUpLimits_.find(record.entry.service);
    record.warmUp.synLimit = limit == nullptr ? std::nullopt : std::optional(limit->syns);
    record.warmUp.unusedUntil = limit == nullptr ? Time{} : endsUnknownUntil_;
}

// A host that starts may learn of the end of an evacuation before it knows the zone's upstreams or the limits.
void UpstreamDirectory::updateZoneReturn(UpstreamRecord &record) const
{
    const auto *limit = warmUpLimits_.find(record.entry.service);
    const auto *evacuation = evacuations_.find(record.entry.zone.name);
    if (limit != nullptr && evacuation != nullptr && evacuation->end) {
        record.warmUp.zoneReturnUntil = std::max(record.warmUp.zoneReturnUntil, evacuation->end->at + limit->duration);
        record.warmUntil = std::max(record.warmUntil, record.warmUp.zoneReturnUntil);
    }
}

void UpstreamDirectory::setEndsUnknownUntil(Time until)
{
    if (std::exchange(endsUnknownUntil_, until) != until) {
        for (auto &record : upstreams_) {
            updateSynLimit(record);
        }
    }
}

void UpstreamDirectory::beginWarmUp(const AvailabilityZone &zone, Time endedAt)
{
    for (auto &record : upstreams_) {
        const auto *limit = warmUpLimits_.find(record.entry.service);
        if (record.entry.zone == zone && limit != nullptr) {
            record.warmUp.zoneReturnUntil = std::max(record.warmUp.zoneReturnUntil, endedAt + limit->duration);
            record.warmUntil = std::max(record.warmUntil, record.warmUp.zoneReturnUntil);
        }
    }
}

// The window is allocated here, so that no SYN has to. An entry that still tells of a past warm-up would start another one on a host that
// gets it from this one.
std::vector<UpstreamIndex> UpstreamDirectory::updateWarmUps(const AvailabilityZone &zone, const ZoneView &view, Time now)
{
    std::vector<UpstreamIndex> changed;
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        auto &record = upstreams_[index];
        const bool active = record.isLimited(now) && record.presence == Presence::Listed;
        if (record.warmUp.active != active) {
            record.warmUp.active = active;
            record.entry.warmUpLeft = active ? record.entry.warmUpLeft : Duration{};
            changed.push_back(index);
        }
        if (!active) {
            continue;
        }
        const bool chosen = record.entry.zone == zone && chosenHost(record.entry.id, record.entry.startMs, view.hosts) == view.self;
        record.warmUp.usableUntil = chosen ? view.trustedUntil : Time{};
        if (chosen) {
            record.warmUp.syns.reserve(*record.warmUp.synLimit);
        }
    }
    return changed;
}

bool UpstreamDirectory::remove(std::string_view id, const Revision &revision, Time now)
{
    unpark(id, revision);
    const auto index = findById(id);
    if (index == kNoUpstream) {
        recordFormer(id, now); // other hosts may have known it
    }
    if (index == kNoUpstream || upstreams_[index].presence != Presence::Listed || revision < upstreams_[index].entry.revision) {
        return false;
    }
    upstreams_[index].entry.revision = revision;
    delist(index, Presence::Removed, now);
    return true;
}

std::size_t UpstreamDirectory::removeUnlisted(std::span<const std::string> ids, const Revision &revision, Time now)
{
    if (revision.era > eraReadAt_.era) {
        eraReadAt_ = revision;
        reregisterUntil_ = now + kReregisterTime;
    }
    const boost::unordered_flat_set<std::string_view> listed(ids.begin(), ids.end());
    std::vector<std::string> unparked;
    for (const auto &[id, entry] : parked_) {
        if (entry.revision <= revision && !listed.contains(id)) {
            unparked.push_back(id);
        }
    }
    for (const auto &id : unparked) {
        parked_.erase(id);
        updateTokens(id);
    }
    std::size_t removed = 0;
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        auto &record = upstreams_[index];
        if (record.entry.id.empty() || record.presence != Presence::Listed || record.entry.revision > revision) {
            continue;
        }
        if (record.entry.revision.era < revision.era) {
            continue; // removeUnregistered() decides
        }
        if (!listed.contains(record.entry.id)) {
            record.entry.revision = revision;
            delist(index, Presence::Removed, now);
            ++removed;
        }
    }
    return removed;
}

void UpstreamDirectory::removeUnregistered(Time now)
{
    if (!reregisterUntil_ || now < *reregisterUntil_) {
        return;
    }
    reregisterUntil_.reset();
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        auto &record = upstreams_[index];
        if (!record.entry.id.empty() && record.presence == Presence::Listed && record.entry.revision.era < eraReadAt_.era) {
            record.entry.revision = eraReadAt_;
            delist(index, Presence::Removed, now);
        }
    }
}

void UpstreamDirectory::expire(Time now)
{
    removeUnregistered(now);
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        auto &record = upstreams_[index];
        if (record.entry.id.empty() || record.presence == Presence::Listed || record.flows > 0
            || now - record.changedAt < kTombstoneDuration) {
            continue;
        }
        forgottenUpTo_ = std::max(forgottenUpTo_, record.entry.revision);
        byId_.erase(record.entry.id);
        const auto owner = byAddress_.find(record.entry.address);
        if (owner != byAddress_.end() && owner->second == index) {
            byAddress_.erase(owner);
        }
        leaveZone(record);
        const auto id = record.entry.id;
        record = UpstreamRecord{};
        free_.push_back(index);
        updateTokens(id);
    }
    std::vector<std::string> expired;
    for (const auto &[id, lastListedAt] : former_) {
        if (now - lastListedAt >= kTombstoneDuration) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        former_.erase(id);
        updateTokens(id);
    }
}

EvacuationChange UpstreamDirectory::applyEvacuation(const ZoneEvacuation &evacuation, Time now)
{
    const auto change = evacuations_.apply(
        evacuation, [this](const std::string &zone) { return zones_.contains(zone); }, now);
    const bool marks = change == EvacuationChange::Begun || change == EvacuationChange::Ended;
    if (!marks || !zones_.contains(evacuation.zone.name)) {
        return change; // keys of unknown zones, of which there may be thousands, cost no pass over the upstreams
    }
    for (auto &record : upstreams_) {
        if (record.entry.zone == evacuation.zone) {
            record.evacuated = evacuation.active;
        }
    }
    if (change == EvacuationChange::Ended) {
        beginWarmUp(evacuation.zone, now);
    }
    return change;
}

bool UpstreamDirectory::endUnlistedEvacuations(std::span<const ZoneEvacuation> listed, const Revision &asOf, Time now)
{
    const auto before = evacuations_.active();
    if (!evacuations_.endUnlisted(listed, asOf, now)) {
        return false;
    }
    for (auto &record : upstreams_) {
        record.evacuated = evacuations_.isActive(record.entry.zone.name);
    }
    for (const auto &evacuation : before) {
        if (!evacuations_.isActive(evacuation.zone.name)) {
            beginWarmUp(evacuation.zone, now);
        }
    }
    return true;
}

bool UpstreamDirectory::applyRecentEnd(const RecentEnd &end, Time now)
{
    applyEvacuation({end.zone, false, end.revision}, now);
    const auto endedAt = evacuations_.recordRecentEnd(end, now);
    if (endedAt) {
        beginWarmUp(end.zone, *endedAt);
    }
    return endedAt.has_value();
}

std::size_t UpstreamDirectory::countIn(const AvailabilityZone &zone) const
{
    const auto found = zones_.find(zone.name);
    return found == zones_.end() ? 0 : found->second;
}

void UpstreamDirectory::setZone(UpstreamRecord &record, const AvailabilityZone &zone)
{
    if (record.entry.zone != zone) {
        ++zones_[zone.name];
        leaveZone(record);
    }
    record.evacuated = evacuations_.isActive(zone.name);
}

void UpstreamDirectory::leaveZone(const UpstreamRecord &record)
{
    const auto found = zones_.find(record.entry.zone.name);
    if (found != zones_.end() && --found->second == 0) {
        zones_.erase(found);
    }
}

void UpstreamDirectory::clearExpectedLoad()
{
    for (auto &record : upstreams_) {
        record.expectedLoad = 0;
    }
}

void UpstreamDirectory::recordFormer(std::string_view id, Time lastListedAt)
{
    if (findById(id) == kNoUpstream) {
        auto &known = former_[std::string(id)];
        known = std::max(known, lastListedAt);
        updateTokens(id);
    }
}

std::vector<FormerUpstream> UpstreamDirectory::formerWithSharedTokens(Time now) const
{
    std::vector<FormerUpstream> found;
    if (tokens_.sharedCount() == 0) {
        return found;
    }
    for (const auto &record : upstreams_) {
        if (!record.entry.id.empty() && record.presence != Presence::Listed && tokens_.sharesTokens(record.entry.id)) {
            found.push_back({record.entry.id, now - record.changedAt});
        }
    }
    for (const auto &[id, lastListedAt] : former_) {
        if (tokens_.sharesTokens(id)) {
            found.push_back({id, now - lastListedAt});
        }
    }
    return found;
}

// Enters an id that is known in any way, and removes one that no longer is. Of upstreams that share a token, each uses another one for new
// flows; packets with the shared one may be of either, also of one that other hosts do not know yet or no longer know.
void UpstreamDirectory::updateTokens(std::string_view id)
{
    const std::string key(id);
    const auto index = findById(id);
    const bool isKnown = index != kNoUpstream || parked_.contains(key) || former_.contains(key);
    for (const auto changed : isKnown ? tokens_.add(id, index) : tokens_.erase(id)) {
        upstreams_[changed].flowToken = tokens_.uniqueTokenOf(upstreams_[changed].entry.id);
    }
}

UpstreamIndex UpstreamDirectory::findById(std::string_view id) const
{
    const auto found = byId_.find(std::string(id));
    return found == byId_.end() ? kNoUpstream : found->second;
}

std::span<const UpstreamIndex> UpstreamDirectory::listedUpstreams(const std::string &service) const
{
    const auto found = byService_.find(service);
    return found == byService_.end() ? std::span<const UpstreamIndex>{} : std::span<const UpstreamIndex>(found->second);
}

UpstreamIndex UpstreamDirectory::add(const UpstreamEntry &entry)
{
    UpstreamIndex index = 0;
    if (free_.empty()) {
        index = static_cast<UpstreamIndex>(upstreams_.size());
        upstreams_.emplace_back();
    } else {
        index = free_.back();
        free_.pop_back();
    }
    auto &record = upstreams_[index];
    record.entry = entry;
    ++zones_[entry.zone.name];
    record.token = tokenOf(entry.id);
    byId_[entry.id] = index;
    former_.erase(entry.id);
    updateTokens(entry.id);
    return index;
}

void UpstreamDirectory::delist(UpstreamIndex index, Presence presence, Time now)
{
    upstreams_[index].presence = presence;
    upstreams_[index].changedAt = now;
    rebuildServiceIndex();
}

// Only one process can listen on an address. The one that started later should have it and the other have terminated, but an entry alone
// proves nothing: another writer may have left it, and clocks jump.
void UpstreamDirectory::claimAddress(UpstreamIndex index, Time now)
{
    const auto [owner, isNew] = byAddress_.try_emplace(upstreams_[index].entry.address, index);
    const auto other = owner->second;
    if (isNew || other == index) {
        return;
    }
    if (upstreams_[other].entry.address != upstreams_[index].entry.address) {
        owner->second = index; // the previous owner now has another address
        return;
    }
    if (upstreams_[other].entry.number == upstreams_[index].entry.number) {
        return; // the process at the address accepts the packets of both
    }
    const bool otherIsLater
        = upstreams_[other].presence == Presence::Listed && upstreams_[other].entry.startMs > upstreams_[index].entry.startMs;
    const auto earlier = otherIsLater ? index : other;
    owner->second = earlier == index ? other : index;
    contest(earlier, owner->second, now);
}

// The earlier one keeps its flows, and gets new ones while it responds. Otherwise it is suspected: only trials go there until one succeeds.
void UpstreamDirectory::contest(UpstreamIndex earlier, UpstreamIndex later, Time now)
{
    constexpr Duration kRecentResponse = std::chrono::seconds{1};
    auto &first = upstreams_[earlier];
    auto &second = upstreams_[later];
    if (first.contestedAt && second.contestedAt) {
        return;
    }
    ++contests_;
    first.contestedAt = now;
    second.contestedAt = now;
    if (now - first.liveness.lastProgress >= kRecentResponse) {
        markSuspected(first.liveness, now);
    }
}

void UpstreamDirectory::confirmAddress(UpstreamIndex index, Time now)
{
    auto &owner = upstreams_[index];
    if (!owner.contestedAt || now - *owner.contestedAt < kOpeningTime) {
        return;
    }
    owner.contestedAt.reset();
    byAddress_[owner.entry.address] = index;
    for (UpstreamIndex other = 0; other < upstreams_.size(); ++other) {
        auto &record = upstreams_[other];
        if (record.contestedAt && record.entry.address == owner.entry.address && record.entry.number != owner.entry.number) {
            record.contestedAt.reset();
            delist(other, Presence::Replaced, now);
        }
    }
}

void UpstreamDirectory::rebuildServiceIndex()
{
    byService_.clear();
    listed_ = 0;
    for (UpstreamIndex index = 0; index < upstreams_.size(); ++index) {
        const auto &record = upstreams_[index];
        if (!record.entry.id.empty() && record.presence == Presence::Listed) {
            byService_[record.entry.service].push_back(index);
            ++listed_;
        }
    }
}

} // namespace medlarway
