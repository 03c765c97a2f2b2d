#pragma once

#include "base/host.h"
#include "base/random.h"
#include "steering/directory.h"
#include "steering/flow_packet.h"
#include "steering/flow_placing.h"
#include "steering/route_table.h"
#include "steering/route_usage.h"

#include <array>
#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <string_view>
#include <vector>

namespace medlarway
{

/// What happens to a packet.
enum class SteeringAction : std::uint8_t {
    Drop,
    Forward, ///< to the upstream, with its token
    Reset, ///< the client is told that the flow has ended
};

/// Why.
enum class SteeringReason : std::uint8_t {
    Opened, ///< a new flow was placed
    OpenedAgain, ///< a copy of the opening went to another upstream
    OpenedLike, ///< a copy of the opening went where the first one went
    Carried, ///< this host knows the flow
    FoundByToken, ///< this host learnt the flow from its token
    NotReady, ///< no configuration yet
    NoRoute, ///< no route has the address
    RouteUnsure, ///< no route has the address, but a newer configuration may
    NoUpstream, ///< no upstream of the route's services takes flows
    UpstreamsUnsure, ///< the same, but the platform may list some that this host has not read
    NoToken, ///< neither a token nor a known flow
    UnknownToken, ///< no upstream known here has the token
    ForeignToken, ///< the token's upstream is of a service that the route never had
    RouteChanged, ///< the flow's route went, and another route has its address now
    UpstreamEnded, ///< the flow's upstream has ended or can't be reached, and the flow with it
    Count, ///< how many there are
};

/// The name of a reason, for logs and counters.
std::string_view reasonName(SteeringReason reason);

/// The decision on one packet.
struct SteeringStep {
    SteeringAction action = SteeringAction::Drop;
    SteeringReason reason = SteeringReason::NotReady;
    UpstreamIndex upstream = kNoUpstream;

    friend bool operator==(const SteeringStep &, const SteeringStep &) = default;
};

/// What this host remembers of a flow. Any host can lose it: the token finds the upstream again.
struct SteeredFlow {
    UpstreamIndex upstream = kNoUpstream;
    std::uint32_t usage = 0; ///< of the flow's route
    std::uint32_t firstSequence = 0;
    std::uint32_t sentUpTo = 0; ///< the first byte that the client has not sent yet
    std::uint32_t acknowledged = 0;
    std::uint32_t stallCountedIn = 0; ///< see noteStall
    std::uint32_t zoneStallCountedIn = 0; ///< the same for the upstream's zone
    float share = 0; ///< what it adds to its upstream's expected load
    Time heard;
    bool opening = false; ///< the client has not shown an answer to its opening
    bool pinned = false; ///< this host saw which opening the client took, or an answer: later tokens say nothing
    bool running = false; ///< a request waits for its answer
    bool stalled = false; ///< what waits was sent again
    bool closing = false; ///< the client has sent all
};

/// How steering is set up.
struct SteeringOptions {
    AvailabilityZone zone; ///< this host's
    std::uint64_t seed = 1; ///< different on each host, so that hosts do not choose alike
    std::size_t flowLimit = 100'000; ///< flows remembered; beyond it flows are forwarded by their tokens only
    PlacingWeights weights;
};

/// What became known of an upstream.
enum class SteeringNewsKind : std::uint8_t {
    Suspected, ///< it should be tried whether it can be connected to
    StillSuspected, ///< flows go on stalling: tried again
    Answers, ///< it was suspected before
};

/// Something that steering came to believe.
struct SteeringNews {
    UpstreamIndex upstream = kNoUpstream;
    SteeringNewsKind kind = SteeringNewsKind::Suspected;

    friend bool operator==(const SteeringNews &, const SteeringNews &) = default;
};

/// A flow that is given up without a packet of its client, and what the client acknowledged last.
struct GivenUpFlow {
    FlowId flow;
    std::uint32_t acknowledged = 0;

    friend bool operator==(const GivenUpFlow &, const GivenUpFlow &) = default;
};

/// Decides where each packet of a client goes. Pure: packets and time come in, decisions go out. Not thread-safe.
class FlowSteering
{
public:
    using Flows = boost::unordered_flat_map<FlowId, SteeredFlow, FlowIdHash>;

    explicit FlowSteering(SteeringOptions options);

    /// Decides on one packet.
    SteeringStep onPacket(const FlowPacket &packet, Time now);

    /// Time passed. Call it every kSteeringTick.
    void tick(Time now);

    /// Puts a version of the configuration in force; false where it is not newer than the one in force.
    bool applyConfig(const RouteConfig &config);

    /// Until when the routes and the upstreams are known to be as the platform has them, but for its lag.
    void setCertainUntil(Time time)
    {
        certainUntil_ = time;
    }

    /// A suspected upstream could not be connected to: its flows have ended, and so do those that come within kUnreachableLife. Gives the
    /// flows to reset; none where it is no longer suspected.
    std::vector<GivenUpFlow> giveUp(UpstreamIndex upstream, Time now);

    /// What was learnt since the last call.
    std::vector<SteeringNews> takeNews();

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

    const SteeredFlow *findFlow(const FlowId &flow) const;

    /// The flows remembered, in no order.
    const Flows &flows() const
    {
        return flows_;
    }

    std::size_t flowCount() const
    {
        return flows_.size();
    }

    /// How many packets had each reason.
    const std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> &counts() const
    {
        return counts_;
    }

private:
    SteeringStep decide(const FlowPacket &packet, Time now);
    SteeringStep open(const FlowPacket &packet, const FlowRoute &route, Time now);
    SteeringStep openAgain(const FlowRoute &route, SteeredFlow &flow, Time now);
    SteeringStep carry(const FlowPacket &packet, Time now);
    SteeringStep carryUnknown(const FlowPacket &packet, Time now);
    SteeringStep unrouted(const FlowPacket &packet, Time now);
    UpstreamIndex place(const FlowRoute &route, std::uint32_t usage, UpstreamIndex avoid, Time now);
    SteeredFlow *remember(const FlowId &id, UpstreamIndex upstream, Time now);
    void followToken(SteeredFlow &flow, const FlowPacket &packet);
    void takeOpened(SteeredFlow &flow, const FlowPacket &packet, Time now);
    void noteClient(SteeredFlow &flow, const FlowPacket &packet, Time now);
    void progress(SteeredFlow &flow, Time now);
    void stall(SteeredFlow &flow, Time now);
    void suspectZone(const AvailabilityZone &zone, Time now);
    bool routeHas(const Endpoint &destination, UpstreamIndex upstream) const;
    static bool hasEnded(const KnownUpstream &upstream, Time now);
    void beginRun(SteeredFlow &flow);
    void endRun(SteeredFlow &flow);
    void moveTo(SteeredFlow &flow, UpstreamIndex upstream);
    void release(SteeredFlow &flow);
    void forget(const FlowId &id);
    void forgetSilent(Time now);
    void refreshExpected();

    SteeringOptions options_;
    Random random_;
    RouteTable routes_;
    UpstreamDirectory directory_;
    RouteUsages usages_;
    boost::unordered_flat_map<std::string, LifeSigns> zones_; ///< signs of life of each other availability zone as a whole
    Flows flows_;
    std::array<std::uint64_t, static_cast<std::size_t>(SteeringReason::Count)> counts_{};
    std::vector<SteeringNews> news_;
    Time certainUntil_;
    Time lastSweep_;
};

/// How often tick must be called.
inline constexpr Duration kSteeringTick = std::chrono::milliseconds{200};

} // namespace medlarway
