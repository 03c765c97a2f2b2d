#pragma once

#include "base/host.h"
#include "base/time.h"
#include "load/fleet_demand.h"
#include "load_exchange/message.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// The slots of all upstreams of a service; nullopt if the service is unknown.
using SlotsOf = std::function<std::optional<double>(const std::string &service)>;

/// Demand of one host by service.
struct HostDemandRecord {
    Time measuredAt;
    HostId toldBy; ///< the host that this one heard it from
    std::map<std::string, double> demands;
};

/// Sums of a zone by service.
struct ZoneSumRecord {
    struct Sum {
        double requests = 0;
        std::uint32_t hosts = 0;
    };

    Time measuredAt; ///< of the oldest part
    std::map<std::string, Sum> sums;

    /// The highest number of hosts in a sum.
    std::uint32_t hosts() const;
};

/// What a host was told of the demand: by host for its own zone, as sums for any zone. Sums of the same zone that several hosts told are
/// alternatives of which one is used; they are never added, as they may contain the same hosts. Not thread-safe.
class DemandTable
{
public:
    /// Applies the hosts of a report. The report must have passed checkReport().
    void addHosts(HostId from, const DemandReport &report, const SlotsOf &slotsOf, Time now);

    /// Sets the demand of this host; an empty map removes it.
    void setOwn(HostId self, std::map<std::string, double> demands, Time now);

    /// Stores a zone's sums as told by a host, replacing what it told before.
    void addZone(HostId from, const ZoneSums &sums, const std::vector<std::string> &services, const SlotsOf &slotsOf, Time measuredAt);

    /// Removes sums that were measured kDemandLifetime ago, and demands of hosts that were measured hostLifetime ago.
    void expire(Duration hostLifetime, Time now);

    void clear();

    /// The sums over all hosts.
    ZoneSumRecord sumOfHosts() const;

    /// By zone the most complete of the freshest sums.
    std::map<std::string, ZoneSumRecord> bestZones() const;

    const std::map<HostId, HostDemandRecord> &hosts() const
    {
        return hosts_;
    }

private:
    std::map<HostId, HostDemandRecord> hosts_;
    std::map<std::string, std::map<HostId, ZoneSumRecord>> zones_; ///< by zone and the host that told
};

/// Throws Error(PeerMalformed) if the message has more than the limits allow, lists of different lengths, or a demand that no service has
/// slots for.
void checkReport(const DemandReport &report, const SlotsOf &slotsOf);
void checkZones(const std::vector<ZoneSums> &zones, const std::vector<std::string> &services, const SlotsOf &slotsOf);

/// Writes a record as sums for the services.
ZoneSums zoneSumsOf(const std::string &zone, const ZoneSumRecord &record, const std::vector<std::string> &services, Time now);

/// A demand as messages have it; 0 for values that are not positive numbers.
std::uint32_t toHundredths(double requests);

/// An age in milliseconds, rounded up.
std::uint16_t toAgeMs(Duration age);

/// A demand beyond this many times the slots of the service is refused: clients retry a reset at most twice and the wait queue is short,
/// so no overload that a fleet survives comes near it.
inline constexpr double kMaxDemandPerSlot = 100;

/// Limits of the state: hosts of one zone (890 hosts in 10 zones are 89), and hosts that tell the sums of one zone.
inline constexpr std::size_t kMaxDemandHosts = 512;
inline constexpr std::size_t kMaxTellersPerZone = 8;

} // namespace medlarway
