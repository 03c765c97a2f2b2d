#pragma once

#include "base/host.h"
#include "base/time.h"
#include "steering/revision.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// The operator's order that no new flows go to the upstreams of an availability zone, or its end.
struct ZoneEvacuation {
    AvailabilityZone zone;
    bool active = false; ///< false: it has ended; kept so that an older message can't bring it back
    Revision revision; ///< platform revision of the change; a lower one never replaces a higher one

    friend bool operator==(const ZoneEvacuation &, const ZoneEvacuation &) = default;
};

/// The end of an evacuation, and how long ago it was. Clocks of hosts can't be compared, so a duration is passed on.
struct RecentEnd {
    AvailabilityZone zone;
    Revision revision; ///< of the record of the end
    Duration ago{};
    Revision begun; ///< of the evacuation that ended; unknown if a host of an earlier release reported the end

    friend bool operator==(const RecentEnd &, const RecentEnd &) = default;
};

/// What applying a record changed.
enum class EvacuationChange : std::uint8_t {
    None,
    Begun,
    Ended,
    LeftOut, ///< active, but not kept because of kMaxEvacuations
};

/// Limit of the active evacuations that are kept. No platform has nearly as many zones.
inline constexpr std::size_t kMaxEvacuations = 64;

/// Limit of the ended evacuations that are kept. With the active ones they fill at most 80 kB, at the maximum length of their names.
inline constexpr std::size_t kMaxEndedEvacuations = 256;

/// How long the end of an evacuation is passed on: longer than upstreams take to warm up.
inline constexpr Duration kRecentEndAge = std::chrono::seconds{60};

/// Limit of the length of a zone's name.
inline constexpr std::size_t kMaxZoneBytes = 255;

/// Limit of the ends in a list for another host: more zones than a platform has.
inline constexpr std::size_t kMaxEndsInList = 8;

/// Limit of the total length of the zones' names in such a list, which is part of a datagram.
inline constexpr std::size_t kMaxEndNamesBytes = 512;

/// What is invalid about a list of ends from another host; empty if nothing is.
std::string_view invalidEnds(std::span<const RecentEnd> ends);

/// The evacuations of availability zones that this host knows. Does no I/O and reads no clock. Not thread-safe.
class ZoneEvacuations
{
public:
    /// Whether an upstream of the zone with this name is known.
    using ZoneTest = std::function<bool(const std::string &zone)>;

    /// The end of an evacuation.
    struct End {
        Time at;
        Revision revision;
        Revision begun; ///< revision of the evacuation
    };

    /// A record, and when this host learned of it.
    struct Known {
        ZoneEvacuation record;
        Time since;
        std::optional<End> end; ///< of the zone's last evacuation; nullopt if it is active or none is known
    };

    /// Applies a record unless a later one of the zone is known or the zone's name is invalid. Beyond kMaxEvacuations, a zone that has
    /// upstreams displaces one that has none.
    EvacuationChange apply(const ZoneEvacuation &offered, const ZoneTest &hasUpstreams, Time now);

    /// Whether an active record of another host, whose data is complete up to a revision, was ended in the meantime by a change that this
    /// host knows of but does not keep a record of.
    bool isOutdated(const ZoneEvacuation &offered, const Revision &asOf) const;

    /// Reconciles with all active evacuations at a revision: ends those that are not listed, except ones of a later revision. True if
    /// there were any.
    bool endUnlisted(std::span<const ZoneEvacuation> listed, const Revision &asOf, Time now);

    /// Records when the evacuation ended whose end was applied, unless its end or that of a later one is known already. Returns the time
    /// if it was recorded.
    std::optional<Time> recordRecentEnd(const RecentEnd &end, Time now);

    /// The ends of a later revision within the last kRecentEndAge, by name of the zone.
    std::vector<RecentEnd> recentEnds(const Revision &after, Time now) const;

    bool isActive(std::string_view zone) const;

    /// The latest record of a zone; nullptr if there is none.
    const Known *find(std::string_view zone) const;

    /// All active evacuations, by name of the zone.
    std::vector<ZoneEvacuation> active() const;

    /// All records of a later revision, by name of the zone.
    std::vector<ZoneEvacuation> changedAfter(const Revision &revision) const;

    /// The highest revision of the ended evacuations that are no longer kept; unknown if there were none.
    const Revision &forgottenUpTo() const
    {
        return forgottenUpTo_;
    }

private:
    bool makeRoom(const std::string &zone, const ZoneTest &hasUpstreams);
    void forgetEnded();

    std::map<std::string, Known, std::less<>> zones_; ///< by name
    std::size_t active_ = 0; ///< number of active records
    Revision forgottenUpTo_; ///< see forgottenUpTo()
    Revision listedAt_; ///< highest revision of endUnlisted(): a zone without a record was not evacuated then
};

} // namespace medlarway
