#include "steering/snapshot.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Follows the upstreams, since zones that have upstreams take precedence. Those that have ended leave their room first.
bool applyEvacuations(UpstreamDirectory &directory, const SteeringDelta &delta, Time now)
{
    bool changed = delta.full && directory.endUnlistedEvacuations(delta.evacuations, delta.asOf, now);
    for (const auto &evacuation : delta.evacuations) {
        if (!directory.evacuations().isOutdated(evacuation, delta.asOf)) {
            const auto change = directory.applyEvacuation(evacuation, now);
            changed = changed || change == EvacuationChange::Begun || change == EvacuationChange::Ended;
        }
    }
    for (const auto &end : delta.recentEnds) {
        directory.applyRecentEnd(end, now);
    }
    return changed;
}

} // namespace

SteeringSnapshot takeSnapshot(const FlowSteering &steering, const Revision &asOf, Time now)
{
    SteeringSnapshot snapshot;
    snapshot.asOf = asOf;
    snapshot.config = steering.routes().config();
    for (const auto &upstream : steering.directory().all()) {
        if (!upstream.entry.id.empty() && upstream.presence == Presence::Listed) {
            snapshot.upstreams.push_back(upstream.entry);
        }
    }
    for (const auto &[id, entry] : steering.directory().parked()) {
        snapshot.upstreams.push_back(entry);
    }
    snapshot.evacuations = steering.directory().evacuations().active();
    snapshot.recentEnds = steering.directory().evacuations().recentEnds({}, now);
    return snapshot;
}

SteeringDelta fullDelta(const SteeringSnapshot &snapshot)
{
    return {snapshot.asOf, true, snapshot.config, snapshot.upstreams, {}, snapshot.evacuations, snapshot.recentEnds};
}

bool applySnapshot(FlowSteering &steering, const SteeringSnapshot &snapshot, Time now)
{
    return applyDelta(steering, fullDelta(snapshot), now);
}

// An upstream whose address was taken over is reported as removed: the receiver may not know the one that took it.
SteeringDelta takeDelta(const FlowSteering &steering, const KnownData &receiver, const Revision &asOf, const Revision &trackedFrom,
                        Time now)
{
    SteeringDelta delta;
    delta.asOf = asOf;
    delta.full = receiver.asOf < std::max(trackedFrom, steering.directory().forgottenUpTo());
    if (steering.routes().version() > receiver.version) {
        delta.config = steering.routes().config();
    }
    const auto &parked = steering.directory().parked();
    for (const auto &[id, entry] : parked) {
        if (delta.full || entry.revision > receiver.asOf) {
            delta.upstreams.push_back(entry);
        }
    }
    for (const auto &upstream : steering.directory().all()) {
        const bool isKnown = !delta.full && upstream.entry.revision <= receiver.asOf;
        if (upstream.entry.id.empty() || isKnown || parked.contains(upstream.entry.id)) {
            continue;
        }
        if (upstream.presence == Presence::Listed) {
            delta.upstreams.push_back(upstream.entry);
        } else if (!delta.full) {
            delta.removed.push_back({upstream.entry.id, upstream.entry.revision});
        }
    }
    const auto &evacuations = steering.directory().evacuations();
    delta.evacuations = delta.full ? evacuations.active() : evacuations.changedAfter(receiver.asOf);
    delta.recentEnds = evacuations.recentEnds(delta.full ? Revision{} : receiver.asOf, now);
    return delta;
}

std::vector<RecentEnd> takeRecentEnds(const FlowSteering &steering, Time now)
{
    auto ends = steering.directory().evacuations().recentEnds({}, now);
    std::erase_if(ends, [&steering](const RecentEnd &end) { return steering.directory().countIn(end.zone) == 0; });
    std::sort(ends.begin(), ends.end(), [](const RecentEnd &a, const RecentEnd &b) { return a.ago < b.ago; });
    while (!invalidEnds(ends).empty()) {
        ends.pop_back();
    }
    return ends;
}

std::vector<FormerUpstream> takeFormerUpstreams(const FlowSteering &steering, Time now)
{
    auto former = steering.directory().formerWithSharedTokens(now);
    std::sort(former.begin(), former.end(), [](const auto &a, const auto &b) { return a.ago < b.ago; });
    std::erase_if(former, [](const FormerUpstream &upstream) { return !invalidFormer(std::span(&upstream, 1)).empty(); });
    former.resize(std::min(former.size(), kMaxFormerInList));
    return former;
}

std::string_view invalidFormer(std::span<const FormerUpstream> former)
{
    for (const auto &upstream : former) {
        if (upstream.id.empty() || upstream.id.size() > kMaxFormerIdBytes) {
            return "an id is empty or too long";
        }
        if (upstream.ago < Duration{} || upstream.ago > kTombstoneDuration) {
            return "an age is negative or too high";
        }
    }
    return former.size() > kMaxFormerInList ? "too long" : "";
}

// Versions and revisions are compared per entry, so that older data can't undo a later change. The remaining warm-up time is that of the
// entry's revision and may be a few seconds too long, which is harmless.
bool applyDelta(FlowSteering &steering, const SteeringDelta &delta, Time now)
{
    auto &directory = steering.directory();
    bool changed = delta.config && steering.applyConfig(*delta.config);
    std::vector<std::string> ids;
    for (const auto &entry : delta.upstreams) {
        if (delta.full) {
            ids.push_back(entry.id);
        }
        const auto known = directory.findById(entry.id);
        if (known == kNoUpstream || directory.at(known).entry.revision < entry.revision) {
            changed = directory.apply(entry, now) || changed;
        }
    }
    for (const auto &removed : delta.removed) {
        changed = directory.remove(removed.id, removed.revision, now) || changed;
    }
    changed = (delta.full && directory.removeUnlisted(ids, delta.asOf, now) > 0) || changed;
    return applyEvacuations(directory, delta, now) || changed;
}

} // namespace medlarway
