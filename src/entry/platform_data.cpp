#include "entry/platform_data.h"

#include "base/errors.h"
#include "base/log.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

PlatformData::PlatformData(FlowSteering &steering)
    : steering_(steering)
{
}

void PlatformData::applyConfig(const RouteConfig &config)
{
    const auto before = steering_.routes().version();
    if (steering_.applyConfig(config)) {
        logEvent(Event::CatalogueAccepted,
                 {field("version", config.version), field("before", before), field("routes", config.routes.size())});
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

void PlatformData::completeRead(const std::vector<std::string> &ids, const Revision &revision)
{
    const auto removed = steering_.directory().removeUnlisted(ids, revision, monotonicNow());
    upstreamsLoaded_ = true;
    trackedFrom_ = revision;
    logEvent(Event::CatalogueAccepted,
             {field("upstreams", ids.size()), field("removed", removed), field("revision", revisionToString(revision))});
}

void PlatformData::confirmUpTo(const Revision &revision)
{
    upTo_ = std::max(upTo_, revision);
}

void PlatformData::applyDelta(const SteeringDelta &delta, const Endpoint &from)
{
    const auto versionBefore = steering_.routes().version();
    const bool changed = medlarway::applyDelta(steering_, delta, monotonicNow());
    logContests();
    if (delta.full && delta.asOf > upTo_) {
        trackedFrom_ = delta.asOf;
    }
    upTo_ = std::max(upTo_, delta.asOf);
    upstreamsLoaded_ = true;
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

SteeringDelta PlatformData::deltaFor(const KnownData &receiver) const
{
    return takeDelta(steering_, receiver, upTo_, trackedFrom_);
}

} // namespace medlarway
