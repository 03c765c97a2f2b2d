#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "load/fleet_demand.h"
#include "load_exchange/demand_table.h"
#include "load_exchange/message.h"
#include "load_exchange/report_round.h"
#include "load_exchange/report_targets.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// Options of a DemandExchange.
struct DemandExchangeOptions {
    HostId self;
    AvailabilityZone zone;
    std::uint16_t firstNumber = 0; ///< of the reports; random, so that a restarted host is told from one whose messages are late

    friend bool operator==(const DemandExchangeOptions &, const DemandExchangeOptions &) = default;
};

/// The hosts that may be told.
struct DemandTargets {
    std::vector<HostId> collectors; ///< hosts of this zone that may be reported to, the preferred one first
    std::vector<HostId> seeds; ///< in any order; may contain this host, and hosts that have stopped
    bool reader = false; ///< this host reads the platform by its rank
    bool ranked = false; ///< this host is among the first of its zone; if no collector replies it adds the zone's demand up

    friend bool operator==(const DemandTargets &, const DemandTargets &) = default;
};

/// Decides who tells whom what callers ask, so that each host near its limit learns the demand of all zones. A host near its limit reports
/// to a collector of its zone, which reports the hosts that report to it to the first reader of the zone, which adds the demands up and
/// tells the sums to two seeds. The replies travel back with the sums of all zones. Nothing is sent unless a host is near its limit. Does
/// no I/O and reads no clock. Not thread-safe.
class DemandExchange
{
public:
    explicit DemandExchange(DemandExchangeOptions options);

    /// Records a report of another host. Throws Error(PeerMalformed) if it is refused.
    void onReport(HostId from, const DemandReport &report, const SlotsOf &slotsOf, Time now);

    /// Records a reply; one to no report of this host is ignored. Throws Error(PeerMalformed) if it is refused.
    void onReply(HostId from, const DemandReply &reply, const SlotsOf &slotsOf, Time now);

    /// Records that this host was paused until now: what it was told is of unknown age.
    void onPause(Time now);

    /// Sends what is due. To be called at nextTick() and after each of the calls above.
    void tick(const std::vector<ServiceDemand> &own, const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox);

    /// When tick() must be called next.
    Time nextTick() const
    {
        return nextTick_;
    }

    /// What this host knows of the demand of all zones; nothing that is older than kDemandLifetime.
    std::vector<ZoneDemand> fleetDemand(Time now) const;

private:
    using Phase = ReportRound::Phase;

    void recordOwn(const std::vector<ServiceDemand> &own, Time now);
    void runZoneRound(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox);
    void closeZoneRound(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox);
    void reportTo(HostId collector, Time now, Outbox<DemandMessage> &outbox);
    void tellSeeds(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox);
    void runSeedRound(Time now, Outbox<DemandMessage> &outbox);
    void answer(ReportRound &round, bool finish, Time now, Outbox<DemandMessage> &outbox);
    void charge(ReportRound &round, std::size_t bytes);
    void refill(Time now);
    Duration neededInterval(Time now) const;
    Time nextRoundAt(const ReportRound &round, Time now);
    bool sumsOwnZone() const;
    bool awaitsSeedRound(Time now) const;
    std::map<std::string, ZoneSumRecord> knownZones() const;
    std::vector<std::string> servicesByDemand() const;
    void send(HostId to, DemandReport report, Time now, Outbox<DemandMessage> &outbox);
    Time firstDue(Time now) const;

    DemandExchangeOptions options_;
    DemandTable table_;
    ReportRound zoneRound_; ///< of hosts of this zone that report to this one
    ReportRound seedRound_; ///< of readers that tell this host, a seed, their zones' sums
    ReportTargets targets_;
    std::vector<std::string> ownServices_; ///< by falling need to be told
    bool near_ = false; ///< this host is near its limit
    bool collectsZone_ = false; ///< this host added up its zone's demand in its last round
    Duration interval_; ///< between the last round and the next one
    Duration needed_; ///< the interval that this host's own bytes allow
    std::uint16_t number_;
    double byteBudget_; ///< bytes that may be sent and received now; negative if too many were
    Time refilledAt_;
    Time upstreamNextAt_; ///< when the hosts that this one reports to expect its next report
    Time ignoreReportsUntil_;
    Time nextTick_;
};

/// Shortest time between two reports of a host.
inline constexpr Duration kMinReportInterval = std::chrono::milliseconds{250};

/// Bytes that a host may send and receive in a second for this exchange, envelopes included: 5 KB/s without a reserve for repeated
/// messages.
inline constexpr double kExchangeBytesPerSecond = 4800;

/// Bytes beyond that after an idle time: a second's worth, so that the first rounds, in which hosts come to their limits one after the
/// other, follow each other fast.
inline constexpr double kExchangeBurstBytes = 5000;

} // namespace medlarway
