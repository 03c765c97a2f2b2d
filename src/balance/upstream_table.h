#pragma once

#include "balance/outlier.h"
#include "catalogue/service.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarway
{

/// One slot of an upstream, as this host sees it.
struct Slot {
    HostId owner; ///< the host that may lend it
    std::optional<HostId> lentTo{}; ///< set while another host has it; this host owns it
    Time lentUntil{}; ///< end of the loan given, or of the wait before a slot that changed hands is used
    std::optional<Time> borrowedUntil{}; ///< set while this host has it on loan: no start after this
    bool ownerSilent = false; ///< the owner gives no sign: used by own counts
    bool busy = false; ///< a request of this host runs in it
    Time usedAt{}; ///< when this host last began or ended using it
    Time holdAt{}; ///< when the owner must be told again that it is in use
    Time notLentBefore{}; ///< a peer could not use it, or the upstream refused in it
    Duration loanBusy{}; ///< how long it was in use during the loan
};

/// How many requests a peer runs at an upstream, as it told.
struct PeerRunning {
    HostId peer;
    std::uint32_t running = 0;
};

/// What one host knows of one upstream.
struct UpstreamState {
    Upstream upstream;
    bool listed = true; ///< in the catalogue; else kept only until its last request ends
    std::vector<Slot> slots;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;
    std::uint32_t connections = 0;
    std::vector<PeerRunning> peers; ///< empty unless counts are gossiped
    std::uint32_t toldRunning = 0; ///< what peers were told last
    double busy = 0; ///< seconds that its slots were in use of late, decaying; as far as this host knows
    Time busyAt; ///< when busy was last worked out
    std::uint32_t warmAnswers = 0; ///< answers since it was added or readmitted, up to kWarmAnswers
    std::optional<Time> shedUntil; ///< it asked to be left alone
    bool reportedUnhealthy = false;
    Time reportedAt;
    OutlierState outlier;
};

/// Answers after which an upstream counts as warm.
inline constexpr std::uint32_t kWarmAnswers = 3;

/// The upstreams of one service, in the order of the catalogue, those removed with open requests last.
class UpstreamTable
{
public:
    /// Takes over the catalogue's list; `self` owns every new slot until told otherwise. Upstreams that are new in a list that was not
    /// empty start cold.
    void setService(const Service &service, HostId self);

    UpstreamState *find(const Endpoint &endpoint);
    const UpstreamState *find(const Endpoint &endpoint) const;

    std::vector<UpstreamState> &all()
    {
        return upstreams_;
    }

    const std::vector<UpstreamState> &all() const
    {
        return upstreams_;
    }

    std::size_t listed() const;
    std::size_t ejected(Time now) const;

    /// Forgets the upstreams that are not listed any more and have nothing open.
    void forgetUnused();

private:
    std::vector<UpstreamState> upstreams_;
};

/// Whether this host may send new work there at all, slots apart.
bool takesWork(const UpstreamState &state, Time now);

/// Requests that this host may run there at once; less than the limit while it starts cold or is probed.
std::uint32_t allowedNow(const UpstreamState &state, std::uint32_t limit, Time now);

/// Whether a report of bad health is to be believed: it is recent and no own request was answered since.
bool unhealthyByReport(const UpstreamState &state, Time now);

/// Requests that peers run there, as they told.
std::uint32_t peersRunning(const UpstreamState &state);

/// Adds the time that one of its slots was in use.
void noteBusy(UpstreamState &state, Duration busy, Time now);

/// The decaying sum of noteBusy in seconds, brought up to now.
double recentBusy(const UpstreamState &state, Time now);

} // namespace medlarway
