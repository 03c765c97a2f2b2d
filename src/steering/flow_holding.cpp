// The part of FlowSteering that keeps this host's load within its shares: holding, releasing and refusing new flows.
#include "steering/flow_steering.h"

#include "base/hash.h"
#include "steering/liveness.h"
#include "steering/placement_explanation.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// After a pause of the process the packets that ended flows meanwhile are still to be read, and after its start the busy share of the flows
// is not known. The load is overestimated until then. An overloaded service is limited all the same if other hosts tell of the overload:
// one of four hosts fills all upstreams up in half a second.
constexpr Duration kUnlimitedAfterStart = std::chrono::seconds{1};

// Longest time without a response for which requests are watched one by one, which bounds their number. Those of routes with a longer
// target latency are found by the sweep of all flows.
constexpr Duration kMaxOverdueTime = std::chrono::seconds{2};

// When a client sends the copies of a flow's SYN, counted from the first one.
constexpr std::array<Duration, kMaxSyns> kSynTimes{Duration{}, std::chrono::milliseconds{200}, std::chrono::milliseconds{600}};

// Time from a flow's SYN to its first request, for which the search for overdue requests waits in addition.
constexpr Duration kSynToRequest = std::chrono::milliseconds{20};

} // namespace

// Without fresh data the upstreams that this host knows may be a part of those that exist. With a full flow table the load is not known,
// and a retransmitted SYN of a half-open flow is not recognised.
bool FlowSteering::isLimited(std::uint32_t usage, Time now) const
{
    return pools_.isLimited(usage) && now <= freshUntil_ && (now >= unlimitedUntil_ || pools_.isToldFull(pools_.routes()[usage].service))
           && flows_.size() < options_.maxFlows;
}

// A demand that is overestimated would make other hosts limit their flows. So a host that limits nothing yet tells the least that is a
// report, to which the reply has the demand of the others.
std::vector<ServiceDemand> FlowSteering::ownDemand(Time now) const
{
    constexpr double kLeastTold = 0.01;
    auto demands = pools_.ownDemand(now);
    for (auto &demand : demands) {
        if (now < unlimitedUntil_ && !pools_.isToldFull(hashBytes(demand.service))) {
            demand.requests = std::min(demand.requests, kLeastTold);
        }
    }
    return demands;
}

void FlowSteering::startUnlimited(Time now)
{
    unlimitedUntil_ = now + kUnlimitedAfterStart;
}

// Whether a flow carries further requests is not known before the response to its first one.
double FlowSteering::loadShareOf(const SteeredFlow &flow) const
{
    return flow.firstRequest && pools_.isLimited(flow.routeUsage) ? kNewFlowLoad : usages_.busyShare(flow.routeUsage);
}

void FlowSteering::updateLoadShare(SteeredFlow &flow)
{
    if (flow.closing) {
        return; // its load has been released
    }
    const auto share = static_cast<float>(loadShareOf(flow));
    changeLoad(flow, flow.upstream, share - flow.loadShare);
    flow.loadShare = share;
}

void FlowSteering::changeLoad(const SteeredFlow &flow, UpstreamIndex upstream, double change)
{
    auto &record = directory_.at(upstream);
    record.expectedLoad += change;
    pools_.addLoad(record, flow.routeUsage, change);
    loadEnded_ = loadEnded_ || change < 0;
}

// nullopt if the shares are used up.
std::optional<UpstreamIndex> FlowSteering::placeWithinShares(const FlowRoute &route, std::uint32_t usage, Time now)
{
    const bool hasRoom = pools_.findRoom(route, usage, kNewFlowLoad, now);
    if (!hasRoom && !pools_.hasLimitedUpstreams()) {
        return std::nullopt;
    }
    auto request = requestFor(route, usages_.busyShare(usage), kNoUpstream);
    request.open = &pools_.openPools();
    request.limitedOnly = !hasRoom;
    const auto upstream = place(request, now);
    if (upstream != kNoUpstream) {
        return upstream;
    }
    if (!hasRoom) {
        return std::nullopt;
    }
    request.open = nullptr;
    return place(request, now); // the upstreams have changed since the shares were computed
}

SteeringDecision FlowSteering::refuse(const FlowRoute &route, std::uint32_t usage, Time now)
{
    pools_.recordRefused(route, usage, now);
    return {SteeringAction::Reset, SteeringReason::NoRoom, kNoUpstream};
}

FlowTimes FlowSteering::timesOf(const FlowRoute &route, std::uint32_t usage, std::uint8_t earlierSyns, Time now) const
{
    return {route.targetLatency, route.deadline, kSynTimes.at(earlierSyns < kSynTimes.size() ? earlierSyns : 0),
            pools_.expectedResponse(route, usage, now)};
}

WaitingFlow FlowSteering::newWait(const FlowRoute &route, std::uint32_t usage, std::uint64_t id, std::uint8_t earlierSyns, Time now) const
{
    const auto times = timesOf(route, usage, earlierSyns, now);
    WaitingFlow flow{route.priority,
                     outlookOf(times) != FlowOutlook::OnTime,
                     now + longestWait(times),
                     pools_.routes().at(usage).processing(),
                     id,
                     usage,
                     now};
    flow.firstSyn = now - times.elapsed;
    return flow;
}

// A late flow must not take room that a flow of its priority could use to be on time, also if the latter has found none just now.
bool FlowSteering::givesWay(std::uint32_t priority, std::uint32_t usage) const
{
    const auto service = pools_.routes().at(usage).service;
    const auto flows = waiting_.flows();
    return std::any_of(flows.begin(), flows.end(), [&](const WaitingFlow &flow) {
        return !flow.late && flow.priority == priority && pools_.routes().at(flow.route).service == service;
    });
}

bool FlowSteering::mustWait(const FlowPacket &syn, const FlowRoute &route, std::uint32_t usage, Time now) const
{
    return syn.earlierSyns > 0 && outlookOf(timesOf(route, usage, syn.earlierSyns, now)) != FlowOutlook::OnTime
           && givesWay(route.priority, usage);
}

SteeringDecision FlowSteering::holdSyn(const FlowPacket &packet, const FlowRoute &route, std::uint32_t usage, Time now)
{
    const auto id = ++lastHeld_;
    waiting_.push(newWait(route, usage, id, packet.earlierSyns, now));
    held_[packet.flow] = {id, packet.sequence, firstArrival(packet, now)};
    heldFlows_[id] = packet.flow;
    pools_.changeWaiting(usage, 1);
    pools_.recordWaiting(route, now);
    return dropUnservable(id, now);
}

// The least urgent flow of the service is refused as long as it can't be expected to find room in time. Returns the decision on the flow
// that was added last.
SteeringDecision FlowSteering::dropUnservable(std::uint64_t added, Time now)
{
    const auto service = pools_.routes().at(usages_.indexOf(heldFlows_.at(added).destination)).service;
    while (const auto least = findUnservable(waiting_, service, nullptr, now)) {
        const auto *route = routes_.find(heldFlows_.at(least->id).destination);
        const auto refusal = route == nullptr ? withoutRoute(now) : refuse(*route, least->route, now);
        endWait(*least, refusal, now);
        if (least->id == added) {
            heldDecisions_.pop_back(); // returned instead
            return refusal;
        }
        ++counts_.at(static_cast<std::size_t>(refusal.reason));
    }
    return {SteeringAction::Hold, SteeringReason::Waiting, kNoUpstream};
}

// route is null if it was removed; its flows are not refused for want of room.
FlowSteering::RouteRoom FlowSteering::roomOf(const FlowRoute *route, std::uint32_t usage, Time now) const
{
    RouteRoom room;
    room.usage = usage;
    if (route == nullptr || !pools_.isShort(*route)) {
        return room;
    }
    room.isShort = true;
    room.times = timesOf(*route, usage, 0, now);
    room.mayRefuse = pools_.mayRefuse(*route, usage);
    room.releaseInterval = pools_.releaseInterval(*route, usage, now);
    return room;
}

// A flow of the service in the queue that is to be refused: one whose deadline can't be met any more, else the most urgent one that can't
// be expected to find room in time after those before it, else the least urgent one if the queue is too long. Flows behind the one that is
// refused move up, so a flow with a short wait does not push out others that can be served. added is the route of a flow that is not held.
std::optional<WaitingFlow> FlowSteering::findUnservable(const OverloadQueue &queue, std::uint64_t service, const FlowRoute *added,
                                                        Time now) const
{
    std::ptrdiff_t before = 0; // itself included
    const WaitingFlow *last = nullptr;
    const WaitingFlow *tooLate = nullptr;
    std::vector<RouteRoom> rooms; // of the routes with waiting flows, so that each is computed once
    for (const auto &flow : queue.flows()) {
        if (pools_.routes().at(flow.route).service != service) {
            continue;
        }
        auto room = std::find_if(rooms.begin(), rooms.end(), [&flow](const RouteRoom &known) { return known.usage == flow.route; });
        if (room == rooms.end()) {
            const auto held = heldFlows_.find(flow.id);
            const auto *route = held == heldFlows_.end() ? added : routes_.find(held->second.destination);
            room = rooms.insert(room, roomOf(route, flow.route, now));
        }
        last = &flow;
        ++before;
        if (room->isShort && flow.late) {
            auto times = room->times;
            times.elapsed = now - flow.firstSyn;
            if (outlookOf(times) == FlowOutlook::Expired) {
                return flow;
            }
        }
        if (room->mayRefuse && tooLate == nullptr && now + before * room->releaseInterval > flow.releaseBy) {
            tooLate = &flow;
        }
    }
    if (tooLate != nullptr) {
        return *tooLate;
    }
    return last == nullptr || queue.size() <= OverloadQueue::kMaxWaiting ? std::nullopt : std::optional(*last);
}

// What holdSyn() would decide on a new flow, without holding or refusing any.
PlacementWait FlowSteering::explainWait(const FlowRoute &route, std::uint32_t usage, Time now) const
{
    auto queue = waiting_;
    const auto added = newWait(route, usage, lastHeld_ + 1, 0, now);
    queue.push(added);
    PlacementWait wait;
    wait.longest = added.releaseBy - now;
    const auto service = pools_.routes().at(usage).service;
    while (const auto least = findUnservable(queue, service, &route, now)) {
        queue.remove(least->id);
        if (least->id == added.id) {
            wait.refused = true;
            break;
        }
        ++wait.displaced;
    }
    for (const auto &flow : queue.flows()) {
        wait.before += flow < added && pools_.routes().at(flow.route).service == service ? 1U : 0U;
    }
    return wait;
}

void FlowSteering::endWait(const WaitingFlow &waiting, const SteeringDecision &decision, Time now)
{
    const auto flow = heldFlows_.at(waiting.id);
    heldDecisions_.push_back({flow, decision, now - waiting.since});
    held_.erase(flow);
    heldFlows_.erase(waiting.id);
    waiting_.remove(waiting.id);
    pools_.changeWaiting(waiting.route, -1);
    if (decision.action == SteeringAction::Forward) {
        const auto row = std::find_if(kWaitBoundsMs.begin(), kWaitBoundsMs.end(),
                                      [&](std::uint32_t bound) { return inMilliseconds(now - waiting.since) <= bound; });
        waitSum_ += now - waiting.since;
        ++waits_.at(static_cast<std::size_t>(row - kWaitBoundsMs.begin()));
    }
}

void FlowSteering::cancelWait(const FlowId &flow, Time now)
{
    const auto found = held_.find(flow);
    if (found == held_.end()) {
        return;
    }
    const auto flows = waiting_.flows();
    const auto waiting = std::find_if(flows.begin(), flows.end(), [&](const WaitingFlow &entry) { return entry.id == found->second.id; });
    endWait(*waiting, {SteeringAction::Drop, SteeringReason::Waiting, kNoUpstream}, now);
}

// A decision that was not returned yet is superseded by one on a later packet of the flow.
void FlowSteering::discardDecisions(const FlowId &flow)
{
    std::erase_if(heldDecisions_, [&flow](const HeldDecision &held) { return held.flow == flow; });
}

// Decides anew, as upstreams and routes may have changed during the wait. False if the flow goes on waiting.
bool FlowSteering::releaseOne(const WaitingFlow &waiting, bool endsNow, Time now)
{
    const auto flow = heldFlows_.at(waiting.id);
    const auto syn = held_.at(flow);
    const auto *route = routes_.find(flow.destination);
    SteeringDecision decision;
    if (holdsNewFlows_) {
        decision = {SteeringAction::Drop, SteeringReason::NotReady, kNoUpstream};
    } else if (route == nullptr) {
        FlowPacket packet;
        packet.flow = flow;
        packet.syn = true;
        decision = rejectUnrouted(packet, now);
    } else {
        const auto request = requestFor(*route, usages_.busyShare(waiting.route), kNoUpstream);
        std::optional<UpstreamIndex> upstream;
        if (!isLimited(waiting.route, now)) {
            upstream = place(request, now);
        } else if (!waiting.late || !givesWay(waiting.priority, waiting.route)) {
            upstream = placeWithinShares(*route, waiting.route, now);
        }
        if (!upstream && endsNow && !pools_.mayRefuse(*route, waiting.route)) {
            upstream = place(request, now);
        }
        if (upstream) {
            decision
                = *upstream == kNoUpstream ? withoutUpstream(request, now) : openFlow(flow, syn, *upstream, SteeringReason::Released, now);
        } else if (endsNow) {
            decision = refuse(*route, waiting.route, now);
        } else {
            return false;
        }
    }
    ++counts_.at(static_cast<std::size_t>(decision.reason));
    endWait(waiting, decision, now);
    return true;
}

std::vector<HeldDecision> FlowSteering::releaseHeld(Time now)
{
    loadEnded_ = false;
    // A copy, as releasing changes the queue. A flow of a route for which there was no room just now needs no second look.
    const std::vector<WaitingFlow> waiting(waiting_.flows().begin(), waiting_.flows().end());
    std::vector<std::uint32_t> full;
    for (const auto &flow : waiting) {
        const bool endsNow = now >= flow.releaseBy;
        const bool isFull = std::find(full.begin(), full.end(), flow.route) != full.end();
        if ((!isFull || endsNow) && !releaseOne(flow, endsNow, now)) {
            full.push_back(flow.route);
        }
    }
    return std::exchange(heldDecisions_, {});
}

std::vector<HeldDecision> FlowSteering::endHolding(Time now)
{
    const std::vector<WaitingFlow> waiting(waiting_.flows().begin(), waiting_.flows().end());
    for (const auto &flow : waiting) {
        releaseOne(flow, true, now);
    }
    return std::exchange(heldDecisions_, {});
}

std::vector<FlowId> FlowSteering::notifyPause(Time now)
{
    startUnlimited(now);
    speeds_.onPause(now);
    for (auto &[id, flow] : flows_) {
        flow.unmeasured = true;
    }
    std::vector<FlowId> flows;
    for (const auto &[flow, syn] : held_) {
        flows.push_back(flow);
    }
    for (const auto &flow : flows) {
        cancelWait(flow, now);
    }
    heldDecisions_.clear();
    return flows;
}

// A running upstream acknowledges a request at once, so one that the client sends again occupies no slot.
void FlowSteering::failStalledRequest(SteeredFlow &flow)
{
    if (flow.failed || flow.closing || !pools_.isLimited(flow.routeUsage)) {
        return;
    }
    flow.failed = true;
    --usages_.at(flow.routeUsage).running;
    changeLoad(flow, flow.upstream, -flow.loadShare);
    flow.loadShare = 0;
}

void FlowSteering::failIfOverdue(SteeredFlow &flow, Time now)
{
    if (!pools_.isLimited(flow.routeUsage)) {
        return;
    }
    // The mean response at the limit takes a third of the target latency. With twice the target latency, requests that upstreams had
    // refused made up about a quarter of the load in the simulation of 300 hosts at 0.9 of the capacity.
    const auto allowed = pools_.routes().at(flow.routeUsage).targetLatency;
    const bool isPending = flow.synSent || flow.running;
    const bool isOverdue = !flow.failed && !flow.closing && pendingTime(flow, now) > allowed;
    if (isOverdue && isPending) {
        flow.failed = true;
        usages_.at(flow.routeUsage).running -= flow.running ? 1 : 0;
        if (flow.running && !flow.stalled && !flow.unmeasured) {
            pools_.recordLoss(directory_.at(flow.upstream), flow.routeUsage, now);
        }
    }
    // A client that has opened a flow and sends no request, as one that opens flows in advance, occupies no slot.
    if (isOverdue && !isPending && flow.firstRequest) {
        flow.firstRequest = false;
        flow.loadShare = static_cast<float>(loadShareOf(flow));
    }
    if (flow.failed) {
        flow.loadShare = 0;
    }
}

void FlowSteering::watchRequest(const FlowId &flow, std::uint32_t usage, Time since)
{
    if (pools_.routes().at(usage).targetLatency <= kMaxOverdueTime) {
        pending_.push_back({since, usage, flow});
    }
}

// An upstream's refusal goes to the client directly. A flow that was refused would count as load until it expires.
void FlowSteering::failOverdueRequests(Time now)
{
    while (!pending_.empty()) {
        const auto entry = pending_.front();
        // The target latency may have been raised since.
        const auto allowed = std::min(kMaxOverdueTime, pools_.routes().at(entry.route).targetLatency);
        if (now - entry.since <= allowed + kSynToRequest) {
            return; // those behind it were opened later
        }
        pending_.pop_front();
        const auto found = flows_.find(entry.flow);
        if (!pools_.isLimited(entry.route) || found == flows_.end() || found->second.failed || found->second.closing) {
            continue;
        }
        auto &flow = found->second;
        const auto load = flow.loadShare;
        failIfOverdue(flow, now);
        changeLoad(flow, flow.upstream, flow.loadShare - load);
        if (!flow.failed && (flow.synSent || flow.running)) {
            watchRequest(entry.flow, entry.route, now - pendingTime(flow, now));
        }
    }
}

} // namespace medlarway
