#pragma once

#include "base/host.h"
#include "base/time.h"
#include "replication/message.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace medlarway
{

/// The hosts that this host heard of, with their availability zones. Does no I/O; not thread-safe.
class HostRegistry
{
public:
    HostRegistry(HostId self, AvailabilityZone zone);

    /// Records a message from a host.
    void recordContact(HostId host, const Endpoint &control, const AvailabilityZone &zone, Time now);

    /// Records a message from a host that is known already.
    void refresh(HostId host, Time now);

    /// When a message of another host of this host's zone was received last; Time{} if none was.
    Time lastContactInZone() const
    {
        return lastContactInZone_;
    }

    /// Records a host of this host's zone that another one reported.
    void recordReported(const HostRecord &host, Time now);

    /// Forgets a host that told it is stopping or that does not respond.
    void forget(HostId host);

    /// Removes hosts that were not heard of for kHostExpiry.
    void expire(Time now);

    /// The hosts of a zone by descending rank, at most count. Includes this host in its own zone. Every host ranks the same hosts alike.
    std::vector<HostId> ranked(const AvailabilityZone &zone, std::size_t count) const;

    /// Whether the host is known to be in the zone.
    bool isIn(HostId host, const AvailabilityZone &zone) const;

    /// Number of known hosts in all zones, with this host.
    std::size_t count() const
    {
        return hosts_.size() + 1;
    }

    /// Number of known hosts in a zone, with this host in its own.
    std::size_t countIn(const AvailabilityZone &zone) const;

    /// The first hosts of a zone by rank, for a report to another host, without this one.
    std::vector<HostRecord> report(const AvailabilityZone &zone, Time now) const;

    /// Address of a host's pages; nullopt if the host is unknown.
    std::optional<Endpoint> controlOf(HostId host) const;

private:
    struct Entry {
        Endpoint control;
        AvailabilityZone zone;
        Time heardAt;
    };

    void store(HostId host, const Entry &entry);

    HostId self_;
    AvailabilityZone zone_;
    Time lastContactInZone_; ///< see lastContactInZone()
    std::map<HostId, Entry> hosts_;
};

/// Time after which a host that was not heard of is removed. Each host contacts one of its seeds every 10 s.
inline constexpr Duration kHostExpiry = std::chrono::seconds{60};

/// Maximum number of hosts in a report: the readers of a large zone, and some to take their place.
inline constexpr std::size_t kReportedHosts = 8;

/// Maximum number of hosts stored; more than a fleet has.
inline constexpr std::size_t kMaxHosts = 4096;

} // namespace medlarway
