#include "steering/snapshot.h"

namespace medlarway
{

SteeringSnapshot takeSnapshot(const FlowSteering &steering, std::uint64_t asOf)
{
    SteeringSnapshot snapshot;
    snapshot.asOf = asOf;
    snapshot.config = steering.routes().config();
    for (const auto &upstream : steering.directory().all()) {
        if (!upstream.entry.id.empty() && upstream.presence == Presence::Listed) {
            snapshot.upstreams.push_back(upstream.entry);
        }
    }
    return snapshot;
}

// Versions and revisions are compared per entry, so that an older snapshot can't undo a later change. The remaining warm-up time is that of
// the entry's revision and may be a few seconds too long, which is harmless.
bool applySnapshot(FlowSteering &steering, const SteeringSnapshot &snapshot, Time now)
{
    bool changed = steering.applyConfig(snapshot.config);
    std::vector<std::string> ids;
    ids.reserve(snapshot.upstreams.size());
    for (const auto &entry : snapshot.upstreams) {
        ids.push_back(entry.id);
        const auto known = steering.directory().findById(entry.id);
        if (known == kNoUpstream || steering.directory().at(known).entry.revision < entry.revision) {
            changed = steering.directory().apply(entry, now) || changed;
        }
    }
    return steering.directory().removeUnlisted(ids, snapshot.asOf, now) > 0 || changed;
}

} // namespace medlarway
