#pragma once

#include "base/host.h"
#include "steering/snapshot.h"

#include <string>
#include <vector>

namespace medlarway
{

/// What an entry host knows of the platform's data, whoever supplied it: the store, or another host. Applies it to the host's steering and
/// logs what changes. Nothing goes back, whatever order the data comes in. Not thread-safe.
class PlatformData
{
public:
    explicit PlatformData(FlowSteering &steering);

    void applyConfig(const RouteConfig &config);
    void applyUpstream(const UpstreamEntry &entry);
    void removeUpstream(const std::string &id, const Revision &revision);

    /// Records that a complete read of the store, up to a revision, listed the upstreams with these ids.
    void completeRead(const std::vector<std::string> &ids, const Revision &revision);

    /// Records that all changes up to a revision were applied.
    void confirmUpTo(const Revision &revision);

    /// Applies changes, or all data, from another host.
    void applyDelta(const SteeringDelta &delta, const Endpoint &from);
    void applySnapshot(const SteeringSnapshot &snapshot, const Endpoint &from);

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

    FlowSteering &steering_;
    std::size_t contestsLogged_ = 0;
    bool upstreamsLoaded_ = false;
    Revision upTo_; ///< see upTo()
    Revision trackedFrom_; ///< revision from which on all removals are known
};

} // namespace medlarway
