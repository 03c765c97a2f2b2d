#pragma once

#include "balance/outlier.h"
#include "catalogue/service.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace medlarway
{

/// One slot of an upstream from this host's point of view. A slot holds one running request.
struct Slot {
    HostId owner; ///< the host that decides who uses the slot
    std::optional<HostId> lentTo{}; ///< if this host is the owner, the peer that has the slot on loan
    Time lentUntil{}; ///< end of a loan, of a handover or of the pause after a refusal; the owner neither uses nor lends the slot before
    std::optional<Time> borrowedUntil{}; ///< set while this host has the slot on loan; no request may start in it after this time
    bool ownerSilent = false; ///< the owner does not respond, so this host may use the slot without a loan
    bool busy = false; ///< a request of this host is running in the slot
    Time lastUsed{}; ///< when a request of this host last started or ended in the slot, or the loan was received
    Time renewAt{}; ///< when to send the next Renew to the owner while a request is running
    Time lendableFrom{}; ///< not lent before, after a peer could not use the slot or the upstream refused a request in it
    Duration loanBusyTime{}; ///< how long requests of this host ran in the slot since it last returned it
};

/// The number of requests that a peer reported as running at an upstream.
struct PeerLoad {
    HostId peer;
    std::uint32_t running = 0;
};

/// This host's state for one upstream.
struct UpstreamState {
    Upstream upstream;
    bool listed = true; ///< in the catalogue; if false, kept only until its last request and connection end
    std::vector<Slot> slots;
    std::uint32_t running = 0;
    std::uint32_t runningLong = 0;
    std::uint32_t connections = 0;
    std::vector<PeerLoad> peerLoads; ///< empty unless the strategy is Strategy::Gossip
    std::uint32_t publishedRunning = 0; ///< the value of `running` last sent to peers
    double busySeconds = 0; ///< decaying sum of the time its slots were in use, as known to this host; see addBusyTime()
    Time busyUpdatedAt; ///< when busySeconds was last updated
    std::uint32_t warmUpResponses = 0; ///< responses since it was added or readmitted, up to kWarmUpResponses
    std::optional<Time> shedUntil; ///< end of the Retry-After period that the upstream last sent
    bool reportedUnhealthy = false;
    Time reportedAt;
    OutlierState outlier;
};

/// The number of responses after which a cold upstream counts as warm.
inline constexpr std::uint32_t kWarmUpResponses = 3;

/// The upstreams of one service in the order of the catalogue, followed by removed ones that still have requests or
/// connections open.
class UpstreamTable
{
public:
    /// Applies the list of the catalogue. New slots are owned by `self` until SlotLeases assigns them. Upstreams added
    /// to a table that was not empty start cold.
    void setService(const Service &service, HostId self);

    /// Returns nullptr if there is no such upstream.
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

    /// The number of upstreams in the catalogue.
    std::size_t listedCount() const;

    /// The number of upstreams in the catalogue that are ejected at `now`.
    std::size_t ejectedCount(Time now) const;

    /// Removes upstreams that are no longer in the catalogue and have no request or connection open.
    void removeUnused();

private:
    std::vector<UpstreamState> upstreams_;
};

/// Whether this host may send new requests to the upstream, apart from the availability of slots.
bool acceptsRequests(const UpstreamState &state, Time now);

/// How many requests this host may run at the upstream at once: `limit`, or at most 1 while it is cold or probed.
std::uint32_t concurrencyLimit(const UpstreamState &state, std::uint32_t limit, Time now);

/// Whether health checks recently reported the upstream as unhealthy and no request of this host succeeded recently.
bool isReportedUnhealthy(const UpstreamState &state, Time now);

/// The number of requests that peers reported as running at the upstream.
std::uint32_t peersRunning(const UpstreamState &state);

/// Adds the time that one of the upstream's slots was in use to the decaying sum.
void addBusyTime(UpstreamState &state, Duration busy, Time now);

/// The decaying sum of addBusyTime() at `now`, in seconds.
double recentBusySeconds(const UpstreamState &state, Time now);

} // namespace medlarway
