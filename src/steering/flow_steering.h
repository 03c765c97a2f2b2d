#pragma once

#include "base/host.h"
#include "base/random.h"
#include "load/flow_urgency.h"
#include "load/overload_queue.h"
#include "steering/directory.h"
#include "steering/flow_packet.h"
#include "steering/flow_placement.h"
#include "steering/pool_loads.h"
#include "steering/route_table.h"
#include "steering/route_usage.h"
#include "steering/syn_arrivals.h"
#include "steering/upstream_speed.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace medlarway
{

/// What to do with a packet.
enum class SteeringAction : std::uint8_t {
    Drop,
    Forward, ///< send to the upstream, with its token written into the packet
    Reset, ///< drop it and send a reset to the client
    Hold, ///< keep the SYN until releaseHeld() decides
};

/// Why a packet was forwarded, reset or dropped. reasonName() gives the exported names.
enum class SteeringReason : std::uint8_t {
    Opened, ///< a new flow was placed on an upstream
    SynRerouted, ///< a retransmitted SYN went to another upstream than the one before
    SynRepeated, ///< a retransmitted SYN went to the same upstream
    KnownFlow, ///< the flow is in this host's table
    FoundByToken, ///< the flow was not in the table; its token gave the upstream
    NotReady, ///< no configuration received yet, or new flows are held
    NoRoute, ///< no route has the destination address
    RouteUncertain, ///< no known route has the address, but a newer configuration may
    NoUpstream, ///< no upstream of the route's services accepts flows
    UpstreamsUncertain, ///< as NoUpstream, but this host's list of upstreams may be out of date
    NoToken, ///< a packet without a token on an unknown flow
    UnknownToken, ///< no known upstream has the token
    SharedToken, ///< several upstreams have the token, so that it does not tell whose flow it is
    ForeignToken, ///< the token's upstream belongs to a service that the route never had
    RouteChanged, ///< the flow's route was removed, and another route now has its address
    UpstreamDown, ///< the flow's upstream has terminated or is unreachable
    UpstreamEvacuated, ///< a retransmitted SYN of a flow whose upstream is evacuated; no other upstream takes it
    WarmingUp, ///< only upstreams that warm up under a limit could have taken the SYN
    Waiting, ///< a SYN waits, as this host's shares of the upstreams are used up
    Released, ///< a new flow was placed on an upstream after waiting
    NoRoom, ///< the shares are used up, and waiting would take too long
    Count, ///< number of reasons, not a reason
};

/// The name of a reason in logs and metrics.
std::string_view reasonName(SteeringReason reason);

/// The decision on one packet.
struct SteeringDecision {
    SteeringAction action = SteeringAction::Drop;
    SteeringReason reason = SteeringReason::NotReady;
    UpstreamIndex upstream = kNoUpstream;

    friend bool operator==(const SteeringDecision &, const SteeringDecision &) = default;
};

/// State of a flow in this host's table. It may be lost at any time: the token in the next packet identifies the upstream.
struct SteeredFlow {
    UpstreamIndex upstream = kNoUpstream;
    std::uint32_t routeUsage = 0; ///< index of the route's usage record
    std::uint32_t firstSequence = 0; ///< sequence number of the first packet seen
    std::uint32_t nextSequence = 0; ///< sequence number after the last byte that the client has sent
    std::uint32_t acknowledged = 0; ///< highest acknowledgement number of the client
    std::uint32_t stallEpoch = 0; ///< liveness epoch in which the upstream counted this flow as stalled
    std::uint32_t zoneStallEpoch = 0; ///< liveness epoch in which the upstream's zone counted this flow as stalled
    float loadShare = 0; ///< contribution to its upstream's expected load
    Time lastSeen; ///< arrival of the client's last packet, of the latest copy of its SYN until it is acknowledged
    std::uint32_t pendingSinceUs = 0; ///< arrival of the SYN, then of the first packet of the latest request, in microseconds modulo 2^32
    std::array<UpstreamIndex, kMaxSyns> synTargets{kNoUpstream, kNoUpstream, kNoUpstream}; ///< upstreams that got a copy of its SYN
    bool synSent = false; ///< the client has not yet acknowledged a response to its SYN
    bool pinned = false; ///< the upstream is confirmed by the client's packets, so later tokens are ignored
    bool running = false; ///< a request is outstanding
    bool stalled = false; ///< an unanswered SYN or request was retransmitted
    bool closing = false; ///< the client sent FIN
    bool timed : 1 = false; ///< pendingSinceUs is that of a request, and the next response is that of the request
    bool pipelined : 1 = false; ///< the client sent more data while the request was outstanding
    /// Not merged with timed: a pipelined request, one found by its token and one already counted as overdue still measure the load.
    bool unmeasured : 1 = false; ///< the response time is not measured: requests overlap, or this host paused
    bool failed : 1 = false; ///< no response came for so long that the request counts as failed; the flow counts as no load
    bool firstRequest : 1 = false; ///< its first request has no response yet, so that it counts as a whole request
    bool allSynsSeen : 1 = false; ///< see SynArrivals::complete
    std::uint8_t lastSyn : 2 = 0; ///< see SynArrivals::copy
};

static_assert(sizeof(SteeredFlow) <= 64, "a flow must fit in a cache line");

/// A time for SteeredFlow::pendingSinceUs. Four bytes keep a flow in 64 bytes, one cache line.
inline std::uint32_t toMicroseconds(Time time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count());
}

/// How long the flow's SYN or latest request has been pending, if less than an hour.
inline Duration pendingTime(const SteeredFlow &flow, Time now)
{
    return std::chrono::microseconds{toMicroseconds(now) - flow.pendingSinceUs};
}

/// Parameters of FlowSteering.
struct SteeringOptions {
    AvailabilityZone zone; ///< zone of this host
    std::uint64_t seed = 1; ///< differs between hosts, so that they do not all choose the same upstream
    /// Size limit of the flow table, without flows that are being opened. Flows beyond it are forwarded by their tokens only.
    std::size_t maxFlows = 100'000;
    PlacementWeights weights;
    std::optional<WarmUpTolerance> warmUp; ///< nullopt: upstreams that warm up have no limit
};

/// Change of an upstream's liveness.
enum class LivenessEventKind : std::uint8_t {
    Suspected, ///< newly suspected; the caller should probe it with a connection
    StillSuspected, ///< flows keep stalling; the caller should probe it again
    Recovered, ///< a client received a response from the suspected upstream
};

/// A liveness change, for the caller to log and act on.
struct LivenessEvent {
    UpstreamIndex upstream = kNoUpstream;
    LivenessEventKind kind = LivenessEventKind::Suspected;

    friend bool operator==(const LivenessEvent &, const LivenessEvent &) = default;
};

/// A flow whose upstream became unreachable; the caller resets it, with the client's last acknowledgement number.
struct AbortedFlow {
    FlowId flow;
    std::uint32_t acknowledged = 0;

    friend bool operator==(const AbortedFlow &, const AbortedFlow &) = default;
};

/// An upstream that got a copy of a flow's SYN, while the flow opened at another one. It may respond for seconds; the caller sends it the
/// SYN once more with the token of the flow's upstream, so that its responses carry that one.
struct SupersededSyn {
    FlowId flow;
    UpstreamIndex sentTo = kNoUpstream;
    UpstreamIndex openedAt = kNoUpstream;

    friend bool operator==(const SupersededSyn &, const SupersededSyn &) = default;
};

struct PlacementExplanation;
struct PlacementWait;

/// The decision on a held SYN.
struct HeldDecision {
    FlowId flow;
    SteeringDecision decision; ///< Drop if the client gave up or another host opened the flow
    Duration waited{};

    friend bool operator==(const HeldDecision &, const HeldDecision &) = default;
};

/// Upper bounds of the classes in which waits are counted, in milliseconds.
inline constexpr std::array<std::uint32_t, 6> kWaitBoundsMs{10, 20, 50, 100, 150, 200};

/// Decides where each packet of a client goes. Does no I/O and reads no clock. Not thread-safe.
class FlowSteering
{
public:
    using Flows = boost::unordered_flat_map<FlowId, SteeredFlow, FlowIdHash>;

    explicit FlowSteering(SteeringOptions options);

    /// Decides on one packet.
    SteeringDecision onPacket(const FlowPacket &packet, Time now);

    /// Where a new flow to the address would go now, and why. Changes nothing: draws no random number and starts no trial.
    PlacementExplanation explainPlacement(const Endpoint &destination, Time now) const;

    /// Updates averages and expires flows and upstreams. To be called every kSteeringTick.
    void tick(Time now);

    /// Applies a configuration; false if it is not newer than the current one.
    bool applyConfig(const RouteConfig &config);

    /// Sets the time until which routes and upstreams count as up to date with the platform. After it, a missing route or upstream causes a
    /// drop instead of a reset.
    void setFreshUntil(Time time)
    {
        freshUntil_ = time;
    }

    /// Whether packets can be decided on: a configuration is known, and new flows are not held.
    bool isReady() const
    {
        return routes_.version() != 0 && !holdsNewFlows_;
    }

    /// Leaves SYNs unanswered, while this host's data is incomplete: a zone may be evacuated without it knowing.
    void setHoldsNewFlows(bool holds)
    {
        holdsNewFlows_ = holds;
    }

    /// Sets what this host knows of the hosts of its zone. To be called before each tick(), and when the view is no longer trusted.
    void setZoneView(ZoneView view, Time now);

    /// Whether a SYN may be sent to the upstream now. If so it counts as sent, and the caller must send it.
    bool admitSyn(UpstreamIndex upstream, Time now);

    /// Returns the upstreams that began or ended to warm up under a limit since the last call.
    std::vector<UpstreamIndex> takeWarmUpChanges();

    /// Response times of the upstreams.
    const UpstreamSpeeds &speeds() const
    {
        return speeds_;
    }

    /// What this host observed of the upstreams' speeds since the last call, for other hosts.
    std::vector<SpeedSum> takeSpeedSums()
    {
        return speeds_.takeSpeedSums(directory_);
    }

    /// Adds what another host observed of the upstreams' speeds.
    void applySpeedSums(HostId teller, std::span<const SpeedSum> sums, Time now)
    {
        speeds_.applySpeedSums(teller, sums, directory_, now);
    }

    /// Records that the connection probe of a suspected upstream failed and removes its established flows; packets of further flows are
    /// reset for kUnreachableDuration. Returns the flows to reset; none if the upstream is no longer suspected.
    std::vector<AbortedFlow> markUnreachable(UpstreamIndex upstream, Time now);

    /// Decides on held SYNs: those that find room now, whose wait is over, or that gave way to others. To be called after packets and at
    /// intervals of kHoldTimer while SYNs are held.
    std::vector<HeldDecision> releaseHeld(Time now);

    /// Ends all waits: held SYNs are forwarded or, if there is no room, reset.
    std::vector<HeldDecision> endHolding(Time now);

    /// Drops all held SYNs after a pause of the process: their clients have sent them again through other hosts. No flow is limited until
    /// this host's view of its load is correct again. Returns the flows.
    std::vector<FlowId> notifyPause(Time now);

    std::size_t heldCount() const
    {
        return held_.size();
    }

    /// Whether releaseHeld() has something to decide besides what time brings.
    bool hasHeldDecisions() const
    {
        return !heldDecisions_.empty() || (loadEnded_ && !held_.empty());
    }

    /// Number of requests that are watched for being overdue one by one.
    std::size_t watchedCount() const
    {
        return pending_.size();
    }

    /// What this host's callers ask of each service, for other hosts.
    std::vector<ServiceDemand> ownDemand(Time now) const;

    /// What the callers of all zones ask of each service, as told by other hosts.
    void setFleetDemand(std::vector<ZoneDemand> demands)
    {
        pools_.setFleetDemand(std::move(demands));
    }

    /// Number of known hosts in this host's zone, itself included.
    void setZoneHosts(std::size_t hosts)
    {
        pools_.setZoneHosts(hosts);
    }

    /// The services that came into overload or left it since the last call.
    std::vector<OverloadChange> takeOverloadChanges()
    {
        return pools_.takeOverloadChanges();
    }

    const PoolLoads &pools() const
    {
        return pools_;
    }

    /// Sum of the waits in waits().
    Duration waitSum() const
    {
        return waitSum_;
    }

    /// Number of flows released after waiting, by kWaitBoundsMs; the last number is of longer waits.
    const std::array<std::uint64_t, kWaitBoundsMs.size() + 1> &waits() const
    {
        return waits_;
    }

    /// The token to write into a packet that is forwarded to the upstream.
    FlowToken tokenFor(const FlowPacket &packet, UpstreamIndex upstream) const;

    /// Returns the superseded SYNs since the last call.
    std::vector<SupersededSyn> takeSupersededSyns();

    /// Returns the liveness events since the last call.
    std::vector<LivenessEvent> takeEvents();

    const RouteTable &routes() const
    {
        return routes_;
    }

    UpstreamDirectory &directory()
    {
        return directory_;
    }

    const UpstreamDirectory &directory() const
    {
        return directory_;
    }

    std::uint64_t countOf(SteeringReason reason) const
    {
        return counts_.at(static_cast<std::size_t>(reason));
    }

    /// Whether an upstream with flows of this host is suspected to be down.
    bool hasSuspectedTraffic() const;

    const SteeredFlow *findFlow(const FlowId &flow) const;

    /// The flow table, in no particular order.
    const Flows &flows() const
    {
        return flows_;
    }

    std::size_t flowCount() const
    {
        return flows_.size();
    }

    /// Number of upstreams that were passed over for a new flow, by reason.
    const PassedOverCounts &passedOverCounts() const
    {
        return passedOver_;
    }

    /// Number of packets by reason.
    const std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> &counts() const
    {
        return counts_;
    }

private:
    struct PendingFlow {
        Time since; ///< its SYN or latest request
        std::uint32_t route = 0;
        FlowId flow;
    };

    /// A SYN that waits, or is to be sent now.
    struct HeldSyn {
        std::uint64_t id = 0; ///< in waiting_
        std::uint32_t sequence = 0;
        SynArrivals arrivals;
    };

    /// What decides on the refusal of a route's waiting flows.
    struct RouteRoom {
        std::uint32_t usage = 0;
        bool isShort = false; ///< see PoolLoads
        bool mayRefuse = false;
        Duration releaseInterval{};
        FlowTimes times; ///< of a flow at its first SYN
    };

    SteeringDecision decide(const FlowPacket &packet, Time now);
    SteeringDecision onSyn(const FlowPacket &packet, const FlowRoute &route, Time now);
    SteeringDecision openFlow(const FlowId &id, const HeldSyn &syn, UpstreamIndex upstream, SteeringReason reason, Time now);
    std::optional<UpstreamIndex> placeWithinShares(const FlowRoute &route, std::uint32_t usage, Time now);
    SteeringDecision holdSyn(const FlowPacket &packet, const FlowRoute &route, std::uint32_t usage, Time now);
    SteeringDecision dropUnservable(std::uint64_t added, Time now);
    FlowTimes timesOf(const FlowRoute &route, std::uint32_t usage, std::uint8_t earlierSyns, Time now) const;
    WaitingFlow newWait(const FlowRoute &route, std::uint32_t usage, std::uint64_t id, std::uint8_t earlierSyns, Time now) const;
    bool givesWay(std::uint32_t priority, std::uint32_t usage) const;
    bool mustWait(const FlowPacket &syn, const FlowRoute &route, std::uint32_t usage, Time now) const;
    RouteRoom roomOf(const FlowRoute *route, std::uint32_t usage, Time now) const;
    std::optional<WaitingFlow> findUnservable(const OverloadQueue &queue, std::uint64_t service, const FlowRoute *added, Time now) const;
    PlacementWait explainWait(const FlowRoute &route, std::uint32_t usage, Time now) const;
    void explainRoom(PlacementExplanation &result, const OpenPools &open, std::uint32_t usage, Time now) const;
    bool releaseOne(const WaitingFlow &waiting, bool endsNow, Time now);
    void endWait(const WaitingFlow &waiting, const SteeringDecision &decision, Time now);
    void cancelWait(const FlowId &flow, Time now);
    void discardDecisions(const FlowId &flow);
    SteeringDecision refuse(const FlowRoute &route, std::uint32_t usage, Time now);
    bool isLimited(std::uint32_t usage, Time now) const;
    double loadShareOf(const SteeredFlow &flow) const;
    void updateLoadShare(SteeredFlow &flow);
    void startUnlimited(Time now);
    void changeLoad(const SteeredFlow &flow, UpstreamIndex upstream, double change);
    void failOverdueRequests(Time now);
    void watchRequest(const FlowId &flow, std::uint32_t usage, Time since);
    void failIfOverdue(SteeredFlow &flow, Time now);
    void failStalledRequest(SteeredFlow &flow);
    SteeringDecision onRepeatedSyn(const FlowPacket &packet, const FlowRoute &route, SteeredFlow &flow, Time now);
    SteeringDecision repeatSyn(const SteeredFlow &flow, Time now);
    SteeringDecision forward(const FlowPacket &packet, Time now);
    SteeringDecision forwardByToken(const FlowPacket &packet, Time now);
    SteeringDecision rejectUnrouted(const FlowPacket &packet, Time now);
    SteeringDecision withoutRoute(Time now) const;
    SteeringDecision withoutUpstream(const PlacementRequest &request, Time now) const;
    PlacementRequest requestFor(const FlowRoute &route, double busyShare, UpstreamIndex excluded) const;
    UpstreamIndex place(PlacementRequest request, Time now);
    SteeredFlow *trackFlow(const FlowId &id, UpstreamIndex upstream, bool opening, Time now);
    UpstreamIndex findAccepted(const SteeredFlow &flow, const FlowPacket &packet, Time now) const;
    bool rebindByToken(SteeredFlow &flow, const FlowPacket &packet, Time now);
    static void recordSynTarget(SteeredFlow &flow);
    void finishHandshake(SteeredFlow &flow, const FlowPacket &packet, Time now);
    void updateFromPacket(SteeredFlow &flow, const FlowPacket &packet, Time now);
    void onProgress(SteeredFlow &flow, Time now);
    void onStall(SteeredFlow &flow, Time now);
    void suspectZone(const AvailabilityZone &zone, Time now);
    bool routeAllows(const Endpoint &destination, UpstreamIndex upstream) const;
    static bool isDown(const UpstreamRecord &upstream, Time now);
    void startRequest(SteeredFlow &flow);
    void recordResponse(SteeredFlow &flow, Time now);
    void recordOverdueRequests(Time now);
    void finishRequest(SteeredFlow &flow);
    void rebind(SteeredFlow &flow, UpstreamIndex upstream);
    void releaseLoad(SteeredFlow &flow);
    void removeFlow(const FlowId &id);
    void expireFlows(Time now);
    void updateWarmUps(Time now);
    void refreshExpectedLoad(Time now);

    SteeringOptions options_;
    Random random_;
    RouteTable routes_;
    UpstreamDirectory directory_;
    RouteUsageTable usages_;
    UpstreamSpeeds speeds_;
    boost::unordered_flat_map<std::string, Liveness> zoneLiveness_; ///< liveness of each other zone as a whole, by zone name
    Flows flows_;
    std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> counts_{};
    PassedOverCounts passedOver_{};
    ZoneView zoneView_;
    std::vector<UpstreamIndex> warmUpChanges_;
    std::vector<LivenessEvent> events_;
    std::vector<SupersededSyn> supersededSyns_;
    Time freshUntil_;
    bool holdsNewFlows_ = false; ///< see setHoldsNewFlows()
    Time lastSweep_;
    PoolLoads pools_;
    OverloadQueue waiting_;
    boost::unordered_flat_map<FlowId, HeldSyn, FlowIdHash> held_;
    boost::unordered_flat_map<std::uint64_t, FlowId> heldFlows_; ///< by the id in waiting_
    std::uint64_t lastHeld_ = 0; ///< id of the latest entry of waiting_
    std::vector<HeldDecision> heldDecisions_; ///< made, but not returned yet
    bool loadEnded_ = false; ///< a flow ended since the last releaseHeld()
    std::array<std::uint64_t, kWaitBoundsMs.size() + 1> waits_{};
    Duration waitSum_{};
    std::deque<PendingFlow> pending_; ///< flows of limited routes whose requests may become overdue
    bool started_ = false; ///< tick() was called
    Time unlimitedUntil_; ///< no flow is limited until then, except those of services that others tell to be overloaded
};

/// Interval between calls of FlowSteering::releaseHeld() while SYNs are held: a part of the shortest sensible wait, and few wake-ups.
inline constexpr Duration kHoldTimer = std::chrono::milliseconds{10};

/// Interval between calls of FlowSteering::tick().
inline constexpr Duration kSteeringTick = std::chrono::milliseconds{200};

} // namespace medlarway
