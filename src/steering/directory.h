#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/time.h"
#include "steering/evacuations.h"
#include "steering/flow_packet.h"
#include "steering/revision.h"
#include "steering/token_index.h"
#include "steering/warm_up.h"

#include <algorithm>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// An upstream's entry on the platform. The upstream writes it itself; a restart under the same id changes startMs.
struct UpstreamEntry {
    std::string id;
    std::uint64_t number = 0; ///< the id as a number, which prefixes each packet sent to the upstream
    Endpoint address;
    std::string service;
    AvailabilityZone zone;
    std::uint32_t slots = 1; ///< requests that it runs concurrently
    bool draining = false; ///< accepts no new flows, keeps serving open ones
    Duration warmUpLeft{}; ///< remaining time of slow responses after its start
    std::uint64_t startMs = 0; ///< start time in milliseconds; 0 if the entry has none
    Revision revision; ///< platform revision of the entry; a lower one never replaces a higher one

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

/// Whether the platform still lists an upstream.
enum class Presence : std::uint8_t {
    Listed,
    Removed, ///< no longer listed, but may still run and serve flows
    Replaced, ///< another upstream responded at its address, so it has terminated
};

/// Liveness of one upstream or zone, derived from the packets of this host's flows.
struct Liveness {
    Time lastProgress; ///< when a client's packet last showed a response of the upstream
    std::uint32_t epoch = 1; ///< incremented at each progress; a flow stores the epoch in which it was counted as stalled
    std::uint32_t stalledFlows = 0; ///< flows with an unanswered retransmission since the last progress
    std::optional<Time> suspectedAt; ///< set while the upstream is suspected to be down
    Time lastTrial; ///< when a new flow was last sent to the suspected upstream; initially the time of the suspicion
    std::uint32_t trials = 0; ///< new flows sent to it since it became suspected
    Time probedAt; ///< when a connection probe was last requested
    std::optional<Time> unreachableAt; ///< when a probe of the suspected upstream last failed

    friend bool operator==(const Liveness &, const Liveness &) = default;
};

/// An upstream's entry and the state that this host keeps about it.
struct UpstreamRecord {
    UpstreamEntry entry;
    FlowToken token = 0; ///< the first of its tokens, which other upstreams may have, too
    FlowToken flowToken = 0; ///< the one in packets of its flows, which no other known id has; 0 if there is none
    Presence presence = Presence::Listed;
    Time changedAt; ///< when presence last changed
    Time warmUntil; ///< end of the warm-up after its start
    bool evacuated = false; ///< its zone is evacuated, so it gets no SYN
    std::optional<Time> contestedAt; ///< since when another entry has the same address, until one of the two proved to have it
    Liveness liveness;
    std::uint32_t running = 0; ///< outstanding requests of this host's flows
    std::uint32_t flows = 0; ///< tracked flows of this host
    double expectedLoad = 0; ///< average number of concurrent requests expected from these flows
    double slowness = 1; ///< response time relative to the service's other upstreams, at least 1; see upstream_speed.h
    WarmUpLimit warmUp;

    /// Whether it warms up and its service limits its SYNs meanwhile.
    bool isLimited(Time now) const
    {
        return now < warmUntil && warmUp.synLimit;
    }

    /// Whether this host may send it a SYN now, as far as its warm-up is concerned.
    bool takesSyn(Time now) const
    {
        if (now < warmUp.unusedUntil) {
            return false;
        }
        return !isLimited(now) || (now < warmUp.usableUntil && warmUp.syns.hasCapacity(*warmUp.synLimit, now));
    }
    std::uint32_t pool = 0xffffffff; ///< index in PoolLoads; kNoPool until its next refresh
    bool countsInPool = false; ///< it took flows at the last refresh, so its slots and its load are those of the pool
};

/// An upstream that the platform does not list, but which may still run.
struct FormerUpstream {
    std::string id;
    Duration ago{}; ///< time since it was listed, or since this or another host saw its id last

    friend bool operator==(const FormerUpstream &, const FormerUpstream &) = default;
};

/// How long a delisted upstream can still be found by its token. Exceeds the longest time that clients keep a flow.
inline constexpr Duration kTombstoneDuration = std::chrono::seconds{75};

/// How long an upstream may take to register again after the platform returned to an older copy of its data: the platform promises two
/// seconds.
inline constexpr Duration kReregisterTime = std::chrono::seconds{2};

/// Longer than a client takes to open a flow (1.4 s): a handshake that ends later than this after a change began after the change.
inline constexpr Duration kOpeningTime = std::chrono::milliseconds{1500};

/// The upstreams that the platform lists, and for kTombstoneDuration those it listed before. Not thread-safe.
class UpstreamDirectory
{
public:
    /// Sets the services that exist. Empty: every service is accepted.
    void setServices(std::vector<std::string> services);

    /// Sets the limits of upstreams that warm up.
    void setWarmUpLimits(WarmUpLimits limits);

    /// Starts the warm-up of the zone's upstreams whose service has a limit, as after the end of an evacuation at a time: they may have
    /// cooled down, and their entries may tell so only later.
    void beginWarmUp(const AvailabilityZone &zone, Time endedAt);

    /// Sets until when this host may not know of an evacuation that has just ended. Upstreams whose service has a limit get no SYN until
    /// then, as they may be warming up.
    void setEndsUnknownUntil(Time until);

    /// Records which upstreams of the zone this host may use while they warm up, according to the view. Returns those that began or ended
    /// to warm up under a limit since the last call. To be called at least every kSteeringTick.
    std::vector<UpstreamIndex> updateWarmUps(const AvailabilityZone &zone, const ZoneView &view, Time now);

    /// Applies the parked entries whose service exists now.
    void applyParked(Time now);

    /// Adds or updates an entry; false if a later revision is already stored. Of an older copy of the platform's data, an entry of an
    /// earlier process of the upstream is refused, and an upstream that was draining still is. An entry of an earlier era is not added. An
    /// entry whose service does not exist names no upstream to use: it is parked, and the upstream counts as removed meanwhile.
    bool apply(const UpstreamEntry &entry, Time now);

    /// Records that an upstream completed the handshake of a flow. Others with its address have terminated if this shows that it has taken
    /// it.
    void confirmAddress(UpstreamIndex index, Time now);

    /// Marks an upstream as no longer listed; false if it is not listed or a later revision is stored.
    bool remove(std::string_view id, const Revision &revision, Time now);

    /// Reconciles with a complete read of the platform at a revision: marks as removed all listed upstreams whose id is not in ids,
    /// except entries of a later revision. Entries of an earlier era have kReregisterTime to appear again. Returns how many were removed.
    std::size_t removeUnlisted(std::span<const std::string> ids, const Revision &revision, Time now);

    /// Applies the begin or the end of a zone's evacuation to the zone's upstreams; see ZoneEvacuations::apply().
    EvacuationChange applyEvacuation(const ZoneEvacuation &evacuation, Time now);

    /// Ends the evacuations that a complete list at a revision lacks; see ZoneEvacuations::endUnlisted().
    bool endUnlistedEvacuations(std::span<const ZoneEvacuation> listed, const Revision &asOf, Time now);

    /// Applies the end of an evacuation of which this host may not have known, and starts the warm-up that began then. False if it was
    /// known.
    bool applyRecentEnd(const RecentEnd &end, Time now);

    /// Number of the zone's upstreams, including those that were listed before.
    std::size_t countIn(const AvailabilityZone &zone) const;

    const ZoneEvacuations &evacuations() const
    {
        return evacuations_;
    }

    /// Marks as removed the upstreams that did not register again after the platform returned to an older copy of its data, and erases
    /// those that were delisted kTombstoneDuration ago and have no flows on this host.
    void expire(Time now);

    /// The highest platform revision of the removed upstreams and ended evacuations that are no longer known; unknown if there were none.
    Revision forgottenUpTo() const
    {
        return std::max(forgottenUpTo_, evacuations_.forgottenUpTo());
    }

    /// Sets the expected load of every upstream to 0 before it is recomputed.
    void clearExpectedLoad();

    /// The upstream that alone has this token among its tokens; kNoUpstream if there is none, or if another id is known that has it: the
    /// upstreams that are listed, those that were within kTombstoneDuration, and those whose entries can't be used.
    UpstreamIndex findByToken(FlowToken token) const
    {
        return tokens_.find(token);
    }

    const TokenIndex &tokens() const
    {
        return tokens_;
    }

    /// Records the id of an upstream that is not listed but may still run, for kTombstoneDuration from a time on.
    void recordFormer(std::string_view id, Time lastListedAt);

    /// The upstreams that are not listed and share a token with another id: a host that started after they were delisted does not know
    /// them.
    std::vector<FormerUpstream> formerWithSharedTokens(Time now) const;

    /// The upstream with this id; kNoUpstream if there is none.
    UpstreamIndex findById(std::string_view id) const;

    UpstreamRecord &at(UpstreamIndex index)
    {
        return upstreams_[index];
    }

    const UpstreamRecord &at(UpstreamIndex index) const
    {
        return upstreams_[index];
    }

    /// All records by index; a record with an empty id is unused.
    std::span<const UpstreamRecord> all() const
    {
        return upstreams_;
    }

    /// The parked entries by id; see apply().
    const boost::unordered_flat_map<std::string, UpstreamEntry> &parked() const
    {
        return parked_;
    }

    /// The listed upstreams of a service, including draining ones.
    std::span<const UpstreamIndex> listedUpstreams(const std::string &service) const;

    std::size_t listedCount() const
    {
        return listed_;
    }

    /// How many times an entry was applied that has the address of another upstream.
    std::size_t contestCount() const
    {
        return contests_;
    }

private:
    bool park(const UpstreamEntry &entry, Time now);
    bool unpark(std::string_view id, const Revision &revision);
    void removeUnregistered(Time now);
    UpstreamIndex add(const UpstreamEntry &entry);
    void updateTokens(std::string_view id);
    void delist(UpstreamIndex index, Presence presence, Time now);
    void claimAddress(UpstreamIndex index, Time now);
    void contest(UpstreamIndex earlier, UpstreamIndex later, Time now);
    void rebuildServiceIndex();
    void setZone(UpstreamRecord &record, const AvailabilityZone &zone);
    void leaveZone(const UpstreamRecord &record);
    void updateSynLimit(UpstreamRecord &record) const;
    void updateZoneReturn(UpstreamRecord &record) const;
    bool serviceExists(const std::string &service) const;

    WarmUpLimits warmUpLimits_;
    Time endsUnknownUntil_; ///< see setEndsUnknownUntil()
    std::vector<std::string> services_; ///< existing services; empty if unknown
    boost::unordered_flat_map<std::string, UpstreamEntry> parked_; ///< see parked()
    std::vector<UpstreamRecord> upstreams_;
    std::vector<UpstreamIndex> free_; ///< unused records
    std::size_t listed_ = 0;
    std::size_t contests_ = 0; ///< see contestCount()
    Revision forgottenUpTo_; ///< highest revision of the upstreams that expire() has erased
    ZoneEvacuations evacuations_;
    boost::unordered_flat_map<std::string, std::size_t> zones_; ///< number of records by zone
    Revision eraReadAt_; ///< revision of the first complete read of the current era
    std::optional<Time> reregisterUntil_; ///< when the entries of earlier eras count as removed
    boost::unordered_flat_map<std::string, UpstreamIndex> byId_;
    boost::unordered_flat_map<Endpoint, UpstreamIndex, std::hash<Endpoint>> byAddress_;
    boost::unordered_flat_map<std::string, Time> former_; ///< see recordFormer(); without those that have a record
    TokenIndex tokens_; ///< of all records, parked entries and former upstreams
    boost::unordered_flat_map<std::string, std::vector<UpstreamIndex>> byService_;
};

} // namespace medlarway
