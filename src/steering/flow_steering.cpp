#include "steering/flow_steering.h"

#include "steering/liveness.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// Indexed by SteeringReason.
constexpr std::array<std::string_view, static_cast<std::size_t>(SteeringReason::Count)> kReasonNames{
    "opened",        "opened-again",   "opened-like",        "carried",    "found-by-token", "not-ready",         "no-route",
    "route-unsure",  "no-upstream",    "upstreams-unsure",   "no-token",   "unknown-token",  "shared-token",      "foreign-token",
    "route-changed", "upstream-ended", "upstream-evacuated", "warming-up", "waiting",        "opened-after-wait", "no-room",
};

// Interval between sweeps that expire flows and upstreams.
constexpr Duration kSweepInterval = std::chrono::seconds{1};

// Idle timeout of flows in the handshake or after FIN. Longer than the clients' longest retransmission interval (1.6 s).
constexpr Duration kHalfOpenTimeout = std::chrono::seconds{3};

// Added to the idle timeout, so that client and upstream discard an idle flow before this host does.
constexpr Duration kIdleMargin = std::chrono::seconds{1};

// Whether sequence number a is after b, modulo 2^32.
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

std::string_view reasonName(SteeringReason reason)
{
    return kReasonNames.at(static_cast<std::size_t>(reason));
}

FlowSteering::FlowSteering(SteeringOptions options)
    : options_(std::move(options))
    , random_(options_.seed)
    , pools_({options_.zone, options_.seed})
{
}

bool FlowSteering::applyConfig(const RouteConfig &config)
{
    if (!routes_.apply(config)) {
        return false;
    }
    directory_.setServices(config.services);
    directory_.setWarmUpLimits(WarmUpLimits(config.warmUps, options_.warmUp));
    pools_.applyRoutes(config, [this](const FlowRoute &route) { return usages_.indexOf(route.address); });
    return true;
}

SteeringDecision FlowSteering::onPacket(const FlowPacket &packet, Time now)
{
    const auto decision = decide(packet, now);
    ++counts_.at(static_cast<std::size_t>(decision.reason));
    return decision;
}

SteeringDecision FlowSteering::decide(const FlowPacket &packet, Time now)
{
    // Step 1. Without a configuration, drop the packet; the client will retransmit.
    if (routes_.version() == 0) {
        return {SteeringAction::Drop, SteeringReason::NotReady, kNoUpstream};
    }
    // Step 2. The destination must have a route. The flows of a removed route end with it.
    const auto *route = routes_.find(packet.flow.destination);
    if (route == nullptr) {
        return rejectUnrouted(packet, now);
    }
    // Step 3. Place new flows, forward packets of open ones.
    return packet.syn ? onSyn(packet, *route, now) : forward(packet, now);
}

// Only a flow that was open here before is known to have lost its route. Any other may have been placed by a host with a newer
// configuration, which has the route, or has it again: its packets then prove nothing but that an upstream has responded.
SteeringDecision FlowSteering::rejectUnrouted(const FlowPacket &packet, Time now)
{
    const auto known = flows_.find(packet.flow);
    const bool wasOpenHere = known != flows_.end() && !known->second.synSent;
    removeFlow(packet.flow);
    if (!packet.syn && !wasOpenHere) {
        return {SteeringAction::Drop, SteeringReason::RouteUncertain, kNoUpstream};
    }
    return packet.rst ? SteeringDecision{SteeringAction::Drop, SteeringReason::NoRoute, kNoUpstream} : withoutRoute(now);
}

// A newer configuration may have the route, unless this host's is up to date.
SteeringDecision FlowSteering::withoutRoute(Time now) const
{
    if (now > freshUntil_) {
        return {SteeringAction::Drop, SteeringReason::RouteUncertain, kNoUpstream};
    }
    return {SteeringAction::Reset, SteeringReason::NoRoute, kNoUpstream};
}

SteeringDecision FlowSteering::withoutUpstream(const PlacementRequest &request, Time now) const
{
    if (isHeldBackByWarmUp(directory_, request, now)) {
        return {SteeringAction::Drop, SteeringReason::WarmingUp, kNoUpstream};
    }
    if (now > freshUntil_) {
        return {SteeringAction::Drop, SteeringReason::UpstreamsUncertain, kNoUpstream};
    }
    return {SteeringAction::Reset, SteeringReason::NoUpstream, kNoUpstream};
}

SteeringDecision FlowSteering::forward(const FlowPacket &packet, Time now)
{
    const auto known = flows_.find(packet.flow);
    if (known == flows_.end()) {
        // The client has given up, or its SYN reached an upstream through another host.
        discardDecisions(packet.flow);
        if (!held_.empty()) {
            cancelWait(packet.flow, now);
        }
        return forwardByToken(packet, now);
    }
    auto &flow = known->second;
    // Step 1. The flow must belong to the route that now has the address. Until the flow is pinned, the packet's token shows which
    // upstream's response the client accepted. Later tokens are ignored, as they may come from a late response of another upstream.
    if (!routeAllows(packet.flow.destination, flow.upstream)) {
        removeFlow(packet.flow);
        return {SteeringAction::Reset, SteeringReason::RouteChanged, kNoUpstream};
    }
    if (!flow.pinned && !rebindByToken(flow, packet, now)) {
        return {SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
    }
    if (flow.synSent) {
        finishHandshake(flow, packet, now);
    }
    // Step 2. Update the state of the flow and the liveness of its upstream.
    const bool hasResponse = isAfter(packet.acknowledged, flow.acknowledged);
    updateFromPacket(flow, packet, now);
    const auto upstream = flow.upstream;
    const auto &target = directory_.at(upstream);
    // Step 3. Reset the flow if its upstream is down, so that the client need not wait for its deadline.
    if (!packet.rst && isDown(target, now)) {
        removeFlow(packet.flow);
        return {SteeringAction::Reset, SteeringReason::UpstreamDown, upstream};
    }
    // Step 4. In a full table a flow is remembered until its upstream has responded: its packets have the upstream's token from then on.
    if (packet.rst || (hasResponse && flows_.size() > options_.maxFlows)) {
        removeFlow(packet.flow);
    }
    return {SteeringAction::Forward, SteeringReason::KnownFlow, upstream};
}

bool FlowSteering::routeAllows(const Endpoint &destination, UpstreamIndex upstream) const
{
    return routes_.everAllowed(destination, directory_.at(upstream).entry.service);
}

// An upstream whose address was taken over has certainly terminated. One that is only delisted may still run.
bool FlowSteering::isDown(const UpstreamRecord &upstream, Time now)
{
    return upstream.presence == Presence::Replaced || isUnreachable(upstream.liveness, now);
}

// Only the token of an open flow tells where it is open. The opening token of an upstream tells that it got a copy of the flow's SYN; so
// may have another one.
SteeringDecision FlowSteering::forwardByToken(const FlowPacket &packet, Time now)
{
    if (packet.token == 0) {
        return {SteeringAction::Drop, SteeringReason::NoToken, kNoUpstream};
    }
    if (directory_.tokens().isShared(packet.token)) {
        return {SteeringAction::Drop, SteeringReason::SharedToken, kNoUpstream};
    }
    const auto upstream = directory_.findByToken(packet.token);
    if (upstream == kNoUpstream) {
        return {SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
    }
    const auto &target = directory_.at(upstream);
    if (!routeAllows(packet.flow.destination, upstream)) {
        return {SteeringAction::Drop, SteeringReason::ForeignToken, upstream};
    }
    if (isDown(target, now) && !packet.rst) {
        return {SteeringAction::Reset, SteeringReason::UpstreamDown, upstream};
    }
    if (packet.rst || packet.fin) {
        return {SteeringAction::Forward, SteeringReason::FoundByToken, upstream};
    }
    if (auto *flow = trackFlow(packet.flow, upstream, false, now)) {
        flow->firstSequence = packet.sequence;
        flow->nextSequence = packet.sequence;
        flow->acknowledged = packet.acknowledged;
        flow->pipelined = true; // the packet may be a retransmission of one that went through another host
        updateFromPacket(*flow, packet, now);
    }
    return {SteeringAction::Forward, SteeringReason::FoundByToken, upstream};
}

PlacementRequest FlowSteering::requestFor(const FlowRoute &route, double busyShare, UpstreamIndex excluded) const
{
    PlacementRequest request;
    request.route = &route;
    request.zone = &options_.zone;
    request.busyShare = busyShare;
    request.excluded = excluded;
    return request;
}

UpstreamIndex FlowSteering::place(PlacementRequest request, Time now)
{
    request.counts = &passedOver_;
    const auto upstream = placeFlow(directory_, request, options_.weights, random_, now);
    if (upstream != kNoUpstream) {
        recordNewFlow(directory_.at(upstream).liveness, now);
        admitSyn(upstream, now);
    }
    return upstream;
}

// Returns nullptr if the table is full: the flow is then forwarded by its token alone. Flows that are being opened have as much room again,
// as their packets have no such token yet.
SteeredFlow *FlowSteering::trackFlow(const FlowId &id, UpstreamIndex upstream, bool opening, Time now)
{
    if (flows_.size() >= (opening ? 2 : 1) * options_.maxFlows) {
        return nullptr;
    }
    auto &flow = flows_[id];
    flow = SteeredFlow{};
    flow.routeUsage = usages_.indexOf(id.destination);
    flow.firstRequest = opening;
    flow.loadShare = static_cast<float>(loadShareOf(flow));
    flow.upstream = upstream;
    flow.lastSeen = now;
    flow.pendingSinceUs = toMicroseconds(now);
    ++directory_.at(upstream).flows;
    changeLoad(flow, upstream, flow.loadShare);
    ++usages_.at(flow.routeUsage).open;
    return &flow;
}

void FlowSteering::updateFromPacket(SteeredFlow &flow, const FlowPacket &packet, Time now)
{
    flow.lastSeen = now;
    // Step 1. A higher acknowledgement number shows a response, which confirms the flow's upstream.
    if (isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        flow.pinned = true;
        recordResponse(flow, now);
        onProgress(flow, now);
    }
    // Step 2. New data is a request; a retransmission is a request without a response so far.
    if (packet.dataBytes > 0) {
        const auto end = packet.sequence + packet.dataBytes;
        if (isAfter(end, flow.nextSequence)) {
            flow.nextSequence = end;
            // After more data than one request's first packet, the next response may be that to the data, and not to the next request.
            const bool outstanding = flow.running;
            flow.unmeasured = outstanding;
            if (!outstanding) {
                flow.pendingSinceUs = toMicroseconds(now);
            }
            startRequest(flow);
            flow.timed = outstanding ? flow.timed : !flow.pipelined;
            flow.pipelined = outstanding;
        } else if (flow.running) {
            onStall(flow, now);
            failStalledRequest(flow);
        }
    }
    // Step 3. FIN closes the flow.
    if (packet.fin && !flow.closing) {
        flow.closing = true;
        finishRequest(flow);
        releaseLoad(flow);
    }
}

// Counted from the first data packet, also for a flow's first request: the time from the SYN contains the upstream's handshake and the
// client's time to react to it. A retransmission may be due to a lost packet, so that the time says nothing about the upstream.
void FlowSteering::recordResponse(SteeredFlow &flow, Time now)
{
    if (flow.running && flow.timed && !flow.stalled) {
        speeds_.addResponse(flow.upstream, flow.routeUsage, pendingTime(flow, now), now);
    }
    flow.timed = false;
}

// Each request is recorded once, so that its response does not count again. Requests with a retransmission are included: a client
// retransmits after 200 ms, so that no response of a very slow upstream would ever count otherwise.
void FlowSteering::recordOverdueRequests(Time now)
{
    for (auto &[id, flow] : flows_) {
        if (!flow.running || !flow.timed) {
            continue;
        }
        const auto elapsed = pendingTime(flow, now);
        if (speeds_.isOverdue(flow.routeUsage, elapsed)) {
            speeds_.addResponse(flow.upstream, flow.routeUsage, elapsed, now);
            flow.timed = false;
        }
    }
}

void FlowSteering::onProgress(SteeredFlow &flow, Time now)
{
    auto &upstream = directory_.at(flow.upstream);
    // A retransmission or a pause of this host would count as a slow response.
    if (flow.running && !flow.stalled && !flow.unmeasured) {
        pools_.recordResponse(upstream, flow.routeUsage, pendingTime(flow, now), now);
    }
    const bool finished = flow.running;
    finishRequest(flow);
    flow.stalled = false;
    flow.unmeasured = false;
    flow.failed = false;
    if (finished && flow.firstRequest) {
        flow.firstRequest = false;
        updateLoadShare(flow);
    }
    if (recordProgress(upstream.liveness, now)) {
        events_.push_back({flow.upstream, LivenessEventKind::Recovered});
    }
    if (upstream.entry.zone != options_.zone) {
        recordProgress(zoneLiveness_[upstream.entry.zone.name], now);
    }
}

void FlowSteering::startRequest(SteeredFlow &flow)
{
    if (flow.running || flow.closing) {
        return;
    }
    flow.running = true;
    flow.failed = false;
    ++directory_.at(flow.upstream).running;
    ++usages_.at(flow.routeUsage).running;
}

void FlowSteering::finishRequest(SteeredFlow &flow)
{
    if (!flow.running) {
        return;
    }
    flow.running = false;
    auto &running = directory_.at(flow.upstream).running;
    running -= running > 0 ? 1 : 0; // a restart of the upstream reset it to 0
    usages_.at(flow.routeUsage).running -= flow.failed ? 0 : 1;
}

void FlowSteering::rebind(SteeredFlow &flow, UpstreamIndex upstream)
{
    const bool running = flow.running;
    finishRequest(flow);
    auto &from = directory_.at(flow.upstream);
    auto &to = directory_.at(upstream);
    --from.flows;
    ++to.flows;
    if (!flow.closing) {
        changeLoad(flow, flow.upstream, -flow.loadShare);
        changeLoad(flow, upstream, flow.loadShare);
    }
    flow.upstream = upstream;
    flow.timed = false;
    flow.stallEpoch = 0;
    flow.zoneStallEpoch = 0;
    if (running) {
        startRequest(flow);
    }
}

// Subtracts the flow's expected load. A closing flow stays in the table until it expires, for the packets that follow its FIN.
void FlowSteering::releaseLoad(SteeredFlow &flow)
{
    changeLoad(flow, flow.upstream, -flow.loadShare);
    --usages_.at(flow.routeUsage).open;
}

void FlowSteering::removeFlow(const FlowId &id)
{
    const auto found = flows_.find(id);
    if (found == flows_.end()) {
        return;
    }
    auto &flow = found->second;
    finishRequest(flow);
    if (!flow.closing) {
        releaseLoad(flow);
    }
    --directory_.at(flow.upstream).flows;
    flows_.erase(found);
}

bool FlowSteering::admitSyn(UpstreamIndex upstream, Time now)
{
    auto &target = directory_.at(upstream);
    if (!target.takesSyn(now)) {
        return false;
    }
    if (target.isLimited(now)) {
        target.warmUp.syns.record(now);
    }
    return true;
}

void FlowSteering::setZoneView(ZoneView view, Time now)
{
    zoneView_ = std::move(view);
    directory_.setEndsUnknownUntil(zoneView_.endsUnknownUntil);
    updateWarmUps(now);
}

void FlowSteering::updateWarmUps(Time now)
{
    const auto changed = directory_.updateWarmUps(options_.zone, zoneView_, now);
    warmUpChanges_.insert(warmUpChanges_.end(), changed.begin(), changed.end());
}

std::vector<UpstreamIndex> FlowSteering::takeWarmUpChanges()
{
    return std::exchange(warmUpChanges_, {});
}

void FlowSteering::tick(Time now)
{
    if (!std::exchange(started_, true)) {
        startUnlimited(now);
    }
    usages_.sample();
    directory_.applyParked(now);
    updateWarmUps(now);
    failOverdueRequests(now);
    if (now - lastSweep_ >= kSweepInterval) {
        lastSweep_ = now;
        expireFlows(now);
        directory_.expire(now);
        refreshExpectedLoad(now);
        recordOverdueRequests(now);
        speeds_.sweep(directory_, now);
    }
    pools_.refresh(directory_, now);
}

void FlowSteering::expireFlows(Time now)
{
    const auto idle = routes_.config().idleTimeout + kIdleMargin;
    std::vector<FlowId> expired;
    for (const auto &[id, flow] : flows_) {
        if (now - flow.lastSeen > (flow.closing || flow.synSent ? kHalfOpenTimeout : idle)) {
            expired.push_back(id);
        }
    }
    for (const auto &id : expired) {
        removeFlow(id);
    }
}

// Recomputes the load of every open flow, as the busy share of its route changes over the flow's lifetime.
void FlowSteering::refreshExpectedLoad(Time now)
{
    directory_.clearExpectedLoad();
    pools_.clearRouteLoads();
    for (auto &[id, flow] : flows_) {
        if (!flow.closing) {
            flow.loadShare = static_cast<float>(loadShareOf(flow));
            failIfOverdue(flow, now);
            directory_.at(flow.upstream).expectedLoad += flow.loadShare;
            pools_.addRouteLoad(flow.routeUsage, flow.loadShare);
        }
    }
}

std::vector<LivenessEvent> FlowSteering::takeEvents()
{
    return std::exchange(events_, {});
}

bool FlowSteering::hasSuspectedTraffic() const
{
    const auto upstreams = directory_.all();
    return std::any_of(upstreams.begin(), upstreams.end(),
                       [](const auto &upstream) { return upstream.flows > 0 && upstream.liveness.suspectedAt.has_value(); });
}

const SteeredFlow *FlowSteering::findFlow(const FlowId &flow) const
{
    const auto found = flows_.find(flow);
    return found == flows_.end() ? nullptr : &found->second;
}

} // namespace medlarway
