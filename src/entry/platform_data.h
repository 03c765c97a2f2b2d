#pragma once

#include "base/host.h"
#include "base/time.h"
#include "steering/snapshot.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// What an entry host knows of the platform's data, whoever supplied it: the store, or another host. Applies it to the host's steering and
/// logs what changes. Nothing goes back, whatever order the data comes in. Not thread-safe.
class PlatformData
{
public:
    /// How long ago the platform confirmed the data; nullopt if it never did.
    using Age = std::function<std::optional<Duration>()>;

    /// New flows are held until the data is complete.
    explicit PlatformData(FlowSteering &steering, Age age = {});

    void applyConfig(const RouteConfig &config);
    void applyUpstream(const UpstreamEntry &entry);
    void removeUpstream(const std::string &id, const Revision &revision);

    /// Applies the begin or the end of a zone's evacuation, as the store reported it.
    void applyEvacuation(const ZoneEvacuation &evacuation);

    /// Records that a complete read of the store, up to a revision, listed the upstreams with these ids and these active evacuations. True
    /// if the data was complete before, so that changes since then may be missing that were undone.
    bool completeRead(const std::vector<std::string> &ids, const std::vector<ZoneEvacuation> &evacuations, const Revision &revision);

    /// Records that all changes up to a revision were applied.
    void confirmUpTo(const Revision &revision);

    /// Applies changes, or all data, from another host.
    void applyDelta(const SteeringDelta &delta, const Endpoint &from);
    void applySnapshot(const SteeringSnapshot &snapshot, const Endpoint &from);

    /// Applies the ends of evacuations that another host with data up to asOf reported. They end no evacuation that is active here. An
    /// invalid list, and an end of a zone that this host should know but does not, is left out and logged.
    void applyRecentEnds(const std::vector<RecentEnd> &ends, const Revision &asOf, const Endpoint &from);

    /// Applies the upstreams that another host knew and that are no longer listed. An invalid list is left out and logged.
    void applyFormerUpstreams(const std::vector<FormerUpstream> &former, const Endpoint &from);

    /// The changes that another host lacks.
    SteeringDelta deltaFor(const KnownData &receiver) const;

    KnownData known() const
    {
        return {upTo_, steering_.routes().version()};
    }

    /// Platform revision up to which the data is complete.
    const Revision &upTo() const
    {
        return upTo_;
    }

    /// Whether a configuration and a complete list of upstreams were received.
    bool isComplete() const
    {
        return upstreamsLoaded_ && steering_.routes().version() > 0;
    }

private:
    void logContests();
    void logSharedTokens();
    EvacuationChange applyFromStore(const ZoneEvacuation &evacuation);
    void logEvacuations(const std::vector<ZoneEvacuation> &before, std::string_view source) const;
    void releaseNewFlows();

    FlowSteering &steering_;
    Age age_;
    std::size_t contestsLogged_ = 0;
    std::size_t sharedTokensLogged_ = 0;
    bool upstreamsLoaded_ = false;
    Revision upTo_; ///< see upTo()
    Revision trackedFrom_; ///< revision from which on all removals are known
};

} // namespace medlarway
