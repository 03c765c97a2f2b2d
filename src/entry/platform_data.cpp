#include "entry/platform_data.h"

#include "base/errors.h"
#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::string_view kFromStore = "platform";

} // namespace

PlatformData::PlatformData(FlowSteering &steering, Age age)
    : steering_(steering)
    , age_(std::move(age))
{
    steering_.setHoldsNewFlows(true);
}

void PlatformData::releaseNewFlows()
{
    steering_.setHoldsNewFlows(!isComplete());
}

void PlatformData::applyConfig(const RouteConfig &config)
{
    const auto before = steering_.routes().version();
    if (steering_.applyConfig(config)) {
        logEvent(Event::CatalogueAccepted,
                 {field("version", config.version), field("before", before), field("routes", config.routes.size())});
        releaseNewFlows();
    } else if (config.version < before) {
        logEvent(Event::CatalogueStale, {field("version", config.version), field("in-force", before)});
    }
}

void PlatformData::applyUpstream(const UpstreamEntry &entry)
{
    steering_.directory().apply(entry, monotonicNow());
    if (steering_.directory().parked().contains(entry.id)) {
        reportError(ErrorKind::BadUpstreamEntry, fmt::format("{} at revision {} names the unknown service '{}'", entry.id,
                                                             revisionToString(entry.revision), entry.service));
    }
    logContests();
    logSharedTokens();
}

void PlatformData::logSharedTokens()
{
    const auto &directory = steering_.directory();
    const auto shared = directory.tokens().sharedCount();
    if (std::exchange(sharedTokensLogged_, shared) == shared) {
        return;
    }
    for (const auto &upstream : directory.all()) {
        if (!upstream.entry.id.empty() && directory.tokens().sharesTokens(upstream.entry.id)) {
            logEvent(Event::TokenShared, {field("upstream", upstream.entry.id), field("token", fmt::format("{:08x}", upstream.token)),
                                          field("flow-token", fmt::format("{:08x}", upstream.flowToken)), field("flows", upstream.flows),
                                          field("listed", upstream.presence == Presence::Listed)});
        }
    }
}

void PlatformData::logContests()
{
    const auto contests = steering_.directory().contestCount();
    if (std::exchange(contestsLogged_, contests) == contests) {
        return;
    }
    for (const auto &upstream : steering_.directory().all()) {
        if (upstream.contestedAt) {
            logEvent(Event::AddressContested,
                     {field("upstream", upstream.entry.id), field("address", endpointToString(upstream.entry.address)),
                      field("start", upstream.entry.startMs), field("entry-revision", revisionToString(upstream.entry.revision)),
                      field("flows", upstream.flows), field("suspected", upstream.liveness.suspectedAt.has_value())});
        }
    }
}

void PlatformData::removeUpstream(const std::string &id, const Revision &revision)
{
    if (steering_.directory().remove(id, revision, monotonicNow())) {
        logEvent(Event::UpstreamGone, {field("upstream", id), field("revision", revisionToString(revision))});
    }
}

void PlatformData::applyEvacuation(const ZoneEvacuation &evacuation)
{
    if (applyFromStore(evacuation) == EvacuationChange::LeftOut) {
        reportError(ErrorKind::BadEvacuation, fmt::format("zone {} at revision {} is left out: {} zones are evacuated",
                                                          evacuation.zone.name, revisionToString(evacuation.revision), kMaxEvacuations));
    }
}

EvacuationChange PlatformData::applyFromStore(const ZoneEvacuation &evacuation)
{
    const auto before = steering_.directory().evacuations().active();
    const auto change = steering_.directory().applyEvacuation(evacuation, monotonicNow());
    if (change == EvacuationChange::Begun || change == EvacuationChange::Ended) {
        logEvacuations(before, kFromStore);
    }
    return change;
}

// An evacuation that is no longer active although it has not ended was displaced by one of a zone with upstreams.
void PlatformData::logEvacuations(const std::vector<ZoneEvacuation> &before, std::string_view source) const
{
    const auto &evacuations = steering_.directory().evacuations();
    const auto age = age_ ? age_() : std::nullopt;
    const auto log = [&](Event event, const ZoneEvacuation &evacuation) {
        logEvent(event, {field("zone", evacuation.zone.name), field("revision", revisionToString(evacuation.revision)),
                         field("age-ms", age ? inMilliseconds(*age) : -1), field("source", source),
                         field("upstreams", steering_.directory().countIn(evacuation.zone))});
    };
    const auto contains = [](const std::vector<ZoneEvacuation> &list, const std::string &zone) {
        return std::any_of(list.begin(), list.end(), [&](const auto &evacuation) { return evacuation.zone.name == zone; });
    };
    for (const auto &evacuation : before) {
        const auto *known = evacuations.find(evacuation.zone.name);
        if (known == nullptr) {
            reportError(ErrorKind::BadEvacuation, fmt::format("zone {} at revision {} is displaced by a zone with upstreams",
                                                              evacuation.zone.name, revisionToString(evacuation.revision)));
        } else if (!known->record.active) {
            log(Event::EvacuationEnded, known->record);
        }
    }
    for (const auto &evacuation : evacuations.active()) {
        if (!contains(before, evacuation.zone.name)) {
            log(Event::EvacuationBegun, evacuation);
        }
    }
}

// The store lists evacuations before the upstreams, so those that were left out are offered again now that all upstreams are known and
// the unlisted ones have left their room. They are logged together, as there may be thousands.
bool PlatformData::completeRead(const std::vector<std::string> &ids, const std::vector<ZoneEvacuation> &evacuations,
                                const Revision &revision)
{
    const auto now = monotonicNow();
    const auto removed = steering_.directory().removeUnlisted(ids, revision, now);
    const auto before = steering_.directory().evacuations().active();
    steering_.directory().endUnlistedEvacuations(evacuations, revision, now);
    for (const auto &evacuation : evacuations) {
        steering_.directory().applyEvacuation(evacuation, now);
    }
    logEvacuations(before, kFromStore);
    const bool isFirst = !std::exchange(upstreamsLoaded_, true);
    trackedFrom_ = revision;
    releaseNewFlows();
    logEvent(Event::CatalogueAccepted,
             {field("upstreams", ids.size()), field("removed", removed), field("revision", revisionToString(revision))});
    return !isFirst;
}

void PlatformData::confirmUpTo(const Revision &revision)
{
    upTo_ = std::max(upTo_, revision);
}

void PlatformData::applyDelta(const SteeringDelta &delta, const Endpoint &from)
{
    const auto versionBefore = steering_.routes().version();
    const auto evacuated = steering_.directory().evacuations().active();
    const bool changed = medlarway::applyDelta(steering_, delta, monotonicNow());
    logContests();
    logSharedTokens();
    logEvacuations(evacuated, endpointToString(from));
    if (delta.full && delta.asOf > upTo_) {
        trackedFrom_ = delta.asOf;
    }
    upTo_ = std::max(upTo_, delta.asOf);
    upstreamsLoaded_ = true;
    releaseNewFlows();
    if (changed) {
        logEvent(Event::PeerSnapshotTaken, {field("peer", endpointToString(from)), field("revision", revisionToString(delta.asOf)),
                                            field("version", steering_.routes().version()), field("before", versionBefore),
                                            field("upstreams", delta.upstreams.size()), field("removed", delta.removed.size())});
    }
}

void PlatformData::applySnapshot(const SteeringSnapshot &snapshot, const Endpoint &from)
{
    applyDelta(fullDelta(snapshot), from);
}

// The platform tells of the end of an active evacuation itself. The other host may know upstreams that this one does not know yet, unless
// its data is no later.
void PlatformData::applyRecentEnds(const std::vector<RecentEnd> &ends, const Revision &asOf, const Endpoint &from)
{
    if (const auto fault = invalidEnds(ends); !fault.empty()) {
        reportError(ErrorKind::PeerMalformed,
                    fmt::format("{} ends of evacuations from {}: {}", ends.size(), endpointToString(from), fault));
        return;
    }
    auto &directory = steering_.directory();
    for (const auto &end : ends) {
        if (directory.countIn(end.zone) == 0 && isComplete() && asOf <= upTo_) {
            reportError(ErrorKind::PeerMalformed,
                        fmt::format("end of an evacuation from {}: zone {} has no upstreams", endpointToString(from), end.zone.name));
        } else if (!directory.evacuations().isActive(end.zone.name) && directory.applyRecentEnd(end, monotonicNow())) {
            logEvent(Event::EvacuationEnded, {field("zone", end.zone.name), field("revision", revisionToString(end.revision)),
                                              field("ago-ms", inMilliseconds(end.ago)), field("source", endpointToString(from)),
                                              field("upstreams", directory.countIn(end.zone))});
        }
    }
}

void PlatformData::applyFormerUpstreams(const std::vector<FormerUpstream> &former, const Endpoint &from)
{
    if (const auto fault = invalidFormer(former); !fault.empty()) {
        reportError(ErrorKind::PeerMalformed, fmt::format("{} former upstreams from {}: {}", former.size(), endpointToString(from), fault));
        return;
    }
    const auto now = monotonicNow();
    for (const auto &upstream : former) {
        steering_.directory().recordFormer(upstream.id, now - upstream.ago);
    }
    logSharedTokens();
}

SteeringDelta PlatformData::deltaFor(const KnownData &receiver) const
{
    return takeDelta(steering_, receiver, upTo_, trackedFrom_, monotonicNow());
}

} // namespace medlarway
