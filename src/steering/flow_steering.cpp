#include "steering/flow_steering.h"

#include "steering/life_signs.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::array<std::string_view, static_cast<std::size_t>(SteeringReason::Count)> kReasonNames{
    "opened",      "opened-again",     "opened-like", "carried",       "found-by-token", "not-ready",     "no-route",       "route-unsure",
    "no-upstream", "upstreams-unsure", "no-token",    "unknown-token", "foreign-token",  "route-changed", "upstream-ended",
};

// How often flows that ended or fell silent are looked for.
constexpr Duration kSweepInterval = std::chrono::seconds{1};

// How long a silent flow is remembered that the client has closed or not yet opened. Above the longest pause between
// retransmissions (1.6 s).
constexpr Duration kShortLife = std::chrono::seconds{3};

// Upstreams of a zone that must have stalled flows before the whole zone is suspected.
constexpr std::ptrdiff_t kStalledUpstreamsToSuspectZone = 2;

// Added to the idle timeout, so that the ends, which may discard the flow then, do so before this host.
constexpr Duration kIdleMargin = std::chrono::seconds{1};

// Whether a comes after b in the sequence space, which wraps.
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
{
}

bool FlowSteering::applyConfig(const RouteConfig &config)
{
    if (!routes_.apply(config)) {
        return false;
    }
    directory_.nameServices(config.services);
    return true;
}

SteeringStep FlowSteering::onPacket(const FlowPacket &packet, Time now)
{
    const auto step = decide(packet, now);
    ++counts_.at(static_cast<std::size_t>(step.reason));
    return step;
}

SteeringStep FlowSteering::decide(const FlowPacket &packet, Time now)
{
    // Step 1. Without a configuration nothing is known; the client sends again.
    if (routes_.version() == 0) {
        return {SteeringAction::Drop, SteeringReason::NotReady, kNoUpstream};
    }
    // Step 2. The address must be a route's now; a route that went takes its flows with it.
    const auto *route = routes_.find(packet.flow.destination);
    if (route == nullptr) {
        return unrouted(packet, now);
    }
    // Step 3. New flows are placed, others go where they are.
    return packet.opens ? open(packet, *route, now) : carry(packet, now);
}

SteeringStep FlowSteering::unrouted(const FlowPacket &packet, Time now)
{
    forget(packet.flow);
    // A flow that is open on a route which this host never had was placed by a host that has read more.
    if (!packet.opens && !routes_.wasRemoved(packet.flow.destination) && directory_.findToken(packet.token) != kNoUpstream) {
        return {SteeringAction::Drop, SteeringReason::RouteUnsure, kNoUpstream};
    }
    if (packet.resets || now > certainUntil_) {
        return {SteeringAction::Drop, packet.resets ? SteeringReason::NoRoute : SteeringReason::RouteUnsure, kNoUpstream};
    }
    return {SteeringAction::Reset, SteeringReason::NoRoute, kNoUpstream};
}

SteeringStep FlowSteering::open(const FlowPacket &packet, const FlowRoute &route, Time now)
{
    // Step 1. A copy of an opening that this host has seen.
    const auto known = flows_.find(packet.flow);
    if (known != flows_.end()) {
        if (known->second.firstSequence == packet.sequence && routeHas(packet.flow.destination, known->second.upstream)) {
            return openAgain(route, known->second, now);
        }
        forget(packet.flow);
    }
    // Step 2. A new flow.
    const auto usage = usages_.indexOf(packet.flow.destination);
    const auto upstream = place(route, usage, kNoUpstream, now);
    if (upstream == kNoUpstream) {
        const bool certain = now <= certainUntil_;
        return {certain ? SteeringAction::Reset : SteeringAction::Drop,
                certain ? SteeringReason::NoUpstream : SteeringReason::UpstreamsUnsure, kNoUpstream};
    }
    if (auto *flow = remember(packet.flow, upstream, now)) {
        flow->opening = true;
        flow->firstSequence = packet.sequence;
        flow->sentUpTo = packet.sequence + 1;
    }
    return {SteeringAction::Forward, SteeringReason::Opened, upstream};
}

// An upstream that lives answers within milliseconds, so a copy means that it is gone, full, or a packet was lost.
// Another one is asked; the client takes the first answer, and takeOpened finds out whose that was.
SteeringStep FlowSteering::openAgain(const FlowRoute &route, SteeredFlow &flow, Time now)
{
    flow.heard = now;
    if (!flow.opening) {
        return {SteeringAction::Forward, SteeringReason::OpenedLike, flow.upstream};
    }
    stall(flow, now);
    const auto other = place(route, flow.usage, flow.upstream, now);
    if (other == kNoUpstream) {
        return {SteeringAction::Forward, SteeringReason::OpenedLike, flow.upstream};
    }
    moveTo(flow, other);
    return {SteeringAction::Forward, SteeringReason::OpenedAgain, other};
}

SteeringStep FlowSteering::carry(const FlowPacket &packet, Time now)
{
    const auto known = flows_.find(packet.flow);
    if (known == flows_.end()) {
        return carryUnknown(packet, now);
    }
    auto &flow = known->second;
    // Step 1. The flow must be one of the route that has the address now. The first packet after the opening tells whose answer the client
    // took. Later tokens are not believed: a late answer of another upstream may have brought them.
    if (!routeHas(packet.flow.destination, flow.upstream)) {
        forget(packet.flow);
        return {SteeringAction::Reset, SteeringReason::RouteChanged, kNoUpstream};
    }
    if (!flow.pinned) {
        followToken(flow, packet);
    }
    if (flow.opening) {
        takeOpened(flow, packet, now);
    }
    // Step 2. What the packet shows of the upstream.
    noteClient(flow, packet, now);
    const auto upstream = flow.upstream;
    const auto &target = directory_.at(upstream);
    // Step 3. A flow whose upstream has ended is given up, so that the client need not wait for its deadline.
    if (!packet.resets && hasEnded(target, now)) {
        forget(packet.flow);
        return {SteeringAction::Reset, SteeringReason::UpstreamEnded, upstream};
    }
    if (packet.resets) {
        forget(packet.flow);
    }
    return {SteeringAction::Forward, SteeringReason::Carried, upstream};
}

bool FlowSteering::routeHas(const Endpoint &destination, UpstreamIndex upstream) const
{
    return routes_.everAllowed(destination, directory_.at(upstream).entry.service);
}

// An upstream whose address another one has is gone for certain. One that is merely no longer listed may live.
bool FlowSteering::hasEnded(const KnownUpstream &upstream, Time now)
{
    return upstream.presence == Presence::Replaced || isUnreachable(upstream.life, now);
}

SteeringStep FlowSteering::carryUnknown(const FlowPacket &packet, Time now)
{
    if (packet.token == 0) {
        return {SteeringAction::Drop, SteeringReason::NoToken, kNoUpstream};
    }
    const auto upstream = directory_.findToken(packet.token);
    if (upstream == kNoUpstream) {
        return {SteeringAction::Drop, SteeringReason::UnknownToken, kNoUpstream};
    }
    const auto &target = directory_.at(upstream);
    if (!routeHas(packet.flow.destination, upstream)) {
        return {SteeringAction::Drop, SteeringReason::ForeignToken, upstream};
    }
    if (hasEnded(target, now) && !packet.resets) {
        return {SteeringAction::Reset, SteeringReason::UpstreamEnded, upstream};
    }
    if (packet.resets || packet.finishes) {
        return {SteeringAction::Forward, SteeringReason::FoundByToken, upstream};
    }
    if (auto *flow = remember(packet.flow, upstream, now)) {
        flow->firstSequence = packet.sequence;
        flow->sentUpTo = packet.sequence;
        flow->acknowledged = packet.acknowledged;
        noteClient(*flow, packet, now);
    }
    return {SteeringAction::Forward, SteeringReason::FoundByToken, upstream};
}

UpstreamIndex FlowSteering::place(const FlowRoute &route, std::uint32_t usage, UpstreamIndex avoid, Time now)
{
    PlacingRequest request;
    request.route = &route;
    request.zone = &options_.zone;
    request.busyShare = usages_.busyShare(usage);
    request.avoid = avoid;
    const auto upstream = placeFlow(directory_, request, options_.weights, random_, now);
    if (upstream != kNoUpstream) {
        noteNewFlow(directory_.at(upstream).life, now);
    }
    return upstream;
}

// nullptr where the table is full: the flow is then forwarded by its token alone.
SteeredFlow *FlowSteering::remember(const FlowId &id, UpstreamIndex upstream, Time now)
{
    if (flows_.size() >= options_.flowLimit) {
        return nullptr;
    }
    auto &flow = flows_[id];
    flow = SteeredFlow{};
    flow.usage = usages_.indexOf(id.destination);
    flow.share = static_cast<float>(usages_.busyShare(flow.usage));
    flow.upstream = upstream;
    flow.heard = now;
    auto &target = directory_.at(upstream);
    ++target.flows;
    target.expected += flow.share;
    ++usages_.at(flow.usage).open;
    return &flow;
}

// The token tells whose answer the client took: that of an opening which went elsewhere first, or through another host.
void FlowSteering::followToken(SteeredFlow &flow, const FlowPacket &packet)
{
    if (packet.token == directory_.at(flow.upstream).token) {
        return;
    }
    const auto named = directory_.findToken(packet.token);
    if (named != kNoUpstream && routeHas(packet.flow.destination, named)) {
        moveTo(flow, named);
    }
}

void FlowSteering::takeOpened(SteeredFlow &flow, const FlowPacket &packet, Time now)
{
    flow.opening = false;
    flow.pinned = true;
    flow.acknowledged = packet.acknowledged;
    progress(flow, now);
}

void FlowSteering::noteClient(SteeredFlow &flow, const FlowPacket &packet, Time now)
{
    flow.heard = now;
    // Step 1. A higher acknowledgement shows an answer: the flow is where this host sends it.
    if (isAfter(packet.acknowledged, flow.acknowledged)) {
        flow.acknowledged = packet.acknowledged;
        flow.pinned = true;
        progress(flow, now);
    }
    // Step 2. New data is a request, the same data again is one without an answer.
    if (packet.dataBytes > 0) {
        const auto end = packet.sequence + packet.dataBytes;
        if (isAfter(end, flow.sentUpTo)) {
            flow.sentUpTo = end;
            beginRun(flow);
        } else if (flow.running) {
            stall(flow, now);
        }
    }
    // Step 3. The end of the flow.
    if (packet.finishes && !flow.closing) {
        flow.closing = true;
        endRun(flow);
        release(flow);
    }
}

void FlowSteering::progress(SteeredFlow &flow, Time now)
{
    endRun(flow);
    flow.stalled = false;
    auto &upstream = directory_.at(flow.upstream);
    if (noteProgress(upstream.life, now)) {
        news_.push_back({flow.upstream, SteeringNewsKind::Answers});
    }
    if (upstream.entry.zone != options_.zone) {
        noteProgress(zones_[upstream.entry.zone.name], now);
    }
}

void FlowSteering::stall(SteeredFlow &flow, Time now)
{
    flow.stalled = true;
    auto &upstream = directory_.at(flow.upstream);
    // One that is no longer listed has most likely ended: a single flow is enough to look.
    const bool gone = upstream.presence == Presence::Gone;
    if (noteStall(upstream.life, flow.stallCountedIn, now) || (gone && suspect(upstream.life, now))) {
        news_.push_back({flow.upstream, SteeringNewsKind::Suspected});
    } else if (dueForProbe(upstream.life, now)) {
        news_.push_back({flow.upstream, SteeringNewsKind::StillSuspected});
    }
    if (upstream.entry.zone != options_.zone && noteStall(zones_[upstream.entry.zone.name], flow.zoneStallCountedIn, now)) {
        suspectZone(upstream.entry.zone, now);
    }
}

// Few flows of this host go to each upstream of another zone, too few to suspect each by itself when the zone is cut off.
// Flows of one upstream alone say nothing of its zone.
void FlowSteering::suspectZone(const AvailabilityZone &zone, Time now)
{
    const auto stalled = std::count_if(directory_.all().begin(), directory_.all().end(), [&zone](const KnownUpstream &upstream) {
        return upstream.entry.zone == zone && upstream.life.stalledFlows > 0;
    });
    if (stalled < kStalledUpstreamsToSuspectZone) {
        zones_[zone.name].suspectedAt.reset();
        return;
    }
    for (UpstreamIndex index = 0; index < directory_.all().size(); ++index) {
        auto &upstream = directory_.at(index);
        if (!upstream.entry.id.empty() && upstream.entry.zone == zone && suspect(upstream.life, now)) {
            news_.push_back({index, SteeringNewsKind::Suspected});
        }
    }
}

std::vector<GivenUpFlow> FlowSteering::giveUp(UpstreamIndex upstream, Time now)
{
    std::vector<GivenUpFlow> flows;
    auto &life = directory_.at(upstream).life;
    if (!life.suspectedAt) {
        return flows;
    }
    life.unreachableAt = now;
    for (const auto &[id, flow] : flows_) {
        if (flow.upstream == upstream && !flow.opening && !flow.closing) {
            flows.push_back({id, flow.acknowledged});
        }
    }
    for (const auto &given : flows) {
        forget(given.flow);
    }
    return flows;
}

void FlowSteering::beginRun(SteeredFlow &flow)
{
    if (flow.running || flow.closing) {
        return;
    }
    flow.running = true;
    ++directory_.at(flow.upstream).running;
    ++usages_.at(flow.usage).running;
}

void FlowSteering::endRun(SteeredFlow &flow)
{
    if (!flow.running) {
        return;
    }
    flow.running = false;
    auto &running = directory_.at(flow.upstream).running;
    running -= running > 0 ? 1 : 0; // a new start of the upstream set it to 0
    --usages_.at(flow.usage).running;
}

void FlowSteering::moveTo(SteeredFlow &flow, UpstreamIndex upstream)
{
    const bool running = flow.running;
    endRun(flow);
    auto &from = directory_.at(flow.upstream);
    auto &to = directory_.at(upstream);
    --from.flows;
    ++to.flows;
    if (!flow.closing) {
        from.expected -= flow.share;
        to.expected += flow.share;
    }
    flow.upstream = upstream;
    flow.stallCountedIn = 0;
    flow.zoneStallCountedIn = 0;
    if (running) {
        beginRun(flow);
    }
}

// Takes the flow's expected load off; the flow itself is remembered until its end is confirmed.
void FlowSteering::release(SteeredFlow &flow)
{
    directory_.at(flow.upstream).expected -= flow.share;
    --usages_.at(flow.usage).open;
}

void FlowSteering::forget(const FlowId &id)
{
    const auto found = flows_.find(id);
    if (found == flows_.end()) {
        return;
    }
    auto &flow = found->second;
    endRun(flow);
    if (!flow.closing) {
        release(flow);
    }
    --directory_.at(flow.upstream).flows;
    flows_.erase(found);
}

void FlowSteering::tick(Time now)
{
    usages_.sample();
    if (now - lastSweep_ < kSweepInterval) {
        return;
    }
    lastSweep_ = now;
    forgetSilent(now);
    directory_.expire(now);
    refreshExpected();
}

void FlowSteering::forgetSilent(Time now)
{
    const auto idle = routes_.config().idleTimeout + kIdleMargin;
    std::vector<FlowId> ended;
    for (const auto &[id, flow] : flows_) {
        if (now - flow.heard > (flow.closing || flow.opening ? kShortLife : idle)) {
            ended.push_back(id);
        }
    }
    for (const auto &id : ended) {
        forget(id);
    }
}

// A flow keeps the share that its route had when it was opened; what routes run changes over the flow's life.
void FlowSteering::refreshExpected()
{
    directory_.clearExpected();
    for (auto &[id, flow] : flows_) {
        if (!flow.closing) {
            flow.share = static_cast<float>(usages_.busyShare(flow.usage));
            directory_.at(flow.upstream).expected += flow.share;
        }
    }
}

std::vector<SteeringNews> FlowSteering::takeNews()
{
    return std::exchange(news_, {});
}

const SteeredFlow *FlowSteering::findFlow(const FlowId &flow) const
{
    const auto found = flows_.find(flow);
    return found == flows_.end() ? nullptr : &found->second;
}

} // namespace medlarway
