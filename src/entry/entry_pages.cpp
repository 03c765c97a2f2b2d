#include "entry/entry_pages.h"

#include "base/counters.h"
#include "steering/liveness.h"

#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

std::string_view presenceName(Presence presence)
{
    switch (presence) {
    case Presence::Listed:
        return "listed";
    case Presence::Removed:
        return "gone";
    case Presence::Replaced:
        return "replaced";
    }
    return "unknown";
}

std::string toText(const nlohmann::json &value)
{
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
}

// null unless the upstream warms up under a limit.
nlohmann::json warmUpState(const UpstreamRecord &upstream, Time now)
{
    if (!upstream.isLimited(now)) {
        return nullptr;
    }
    return {{"secondsLeft", inSeconds(upstream.warmUntil - now)},
            {"synsPerSecond", *upstream.warmUp.synLimit},
            {"usedByThisHost", now < upstream.warmUp.usableUntil}};
}

nlohmann::json upstreamState(const UpstreamRecord &upstream, Time now)
{
    return {{"id", upstream.entry.id},
            {"service", upstream.entry.service},
            {"address", endpointToString(upstream.entry.address)},
            {"zone", upstream.entry.zone.name},
            {"presence", presenceName(upstream.presence)},
            {"contested", upstream.contestedAt.has_value()},
            {"draining", upstream.entry.draining},
            {"evacuated", upstream.evacuated},
            {"revision", revisionToString(upstream.entry.revision)},
            {"token", upstream.flowToken},
            {"flows", upstream.flows},
            {"running", upstream.running},
            {"expected", upstream.expectedLoad},
            {"slowness", upstream.slowness},
            {"warmingUp", warmUpState(upstream, now)},
            {"suspected", upstream.liveness.suspectedAt.has_value()},
            {"unreachable", isUnreachable(upstream.liveness, now)},
            {"stalledFlows", upstream.liveness.stalledFlows},
            {"secondsSinceProgress", inSeconds(now - upstream.liveness.lastProgress)}};
}

// Each evacuated zone: since when this host knows it, and what it still has there.
nlohmann::json evacuationState(const UpstreamDirectory &directory, Time now)
{
    auto zones = nlohmann::json::array();
    for (const auto &evacuation : directory.evacuations().active()) {
        std::uint32_t upstreams = 0;
        std::uint32_t flows = 0;
        for (const auto &upstream : directory.all()) {
            if (!upstream.entry.id.empty() && upstream.entry.zone == evacuation.zone) {
                upstreams += upstream.presence == Presence::Listed ? 1 : 0;
                flows += upstream.flows;
            }
        }
        zones.push_back({{"zone", evacuation.zone.name},
                         {"revision", revisionToString(evacuation.revision)},
                         {"secondsSince", inSeconds(now - directory.evacuations().find(evacuation.zone.name)->since)},
                         {"upstreams", upstreams},
                         {"flows", flows}});
    }
    return zones;
}

nlohmann::json poolStates(const PoolLoads &loads, Time now)
{
    auto pools = nlohmann::json::array();
    for (const auto &view : loads.views(now)) {
        const auto &pool = loads.pools()[view.pool];
        pools.push_back({{"service", pool.service},
                         {"zone", pool.zone.name},
                         {"slots", pool.slots},
                         {"limit", view.limit},
                         {"share", view.share},
                         {"load", pool.load},
                         {"waiting", view.waiting},
                         {"overloaded", view.overloaded},
                         {"requestsPerSlot", measuredRequests(pool, now)},
                         {"told", pool.told ? nlohmann::json(pool.told->requests) : nlohmann::json(nullptr)}});
    }
    return pools;
}

nlohmann::json routeStates(const PoolLoads &loads)
{
    auto routes = nlohmann::json::array();
    for (const auto &route : loads.routes()) {
        if (route.targetLatency != Duration{}) {
            routes.push_back({{"name", route.name},
                              {"targetMs", inMilliseconds(route.targetLatency)},
                              {"processingMs", std::chrono::duration<double, std::milli>(route.processing()).count()},
                              {"requestsPerSlot", route.depth},
                              {"waiting", route.waiting}});
        }
    }
    return routes;
}

// A label's value. Names come from the operator and may contain anything.
std::string quoted(const std::string &name)
{
    return nlohmann::json(name).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string loadMetrics(const FlowSteering &steering)
{
    std::string text = "# HELP medlarway_new_flows_total new flows of routes with a target latency by what was decided\n"
                       "# TYPE medlarway_new_flows_total counter\n";
    // A route that has changed its address has a record for each; two values of one series would make a scrape fail.
    std::map<std::string, RouteLoadCounts> countsByRoute;
    for (const auto &route : steering.pools().routes()) {
        if (!route.name.empty() && (route.targetLatency != Duration{} || route.counts != RouteLoadCounts{})) {
            countsByRoute[route.name] += route.counts;
        }
    }
    for (const auto &route : countsByRoute) {
        const auto line = [&](std::string_view outcome, std::uint64_t value) {
            text += fmt::format("medlarway_new_flows_total{{route={},outcome=\"{}\"}} {}\n", quoted(route.first), outcome, value);
        };
        line("at-once", route.second.atOnce);
        line("after-wait", route.second.afterWaiting);
        line("other-zone", route.second.otherZone);
        line("refused", route.second.refused);
    }
    text += "# HELP medlarway_wait_milliseconds waits of new flows that were then sent to an upstream\n"
            "# TYPE medlarway_wait_milliseconds histogram\n";
    std::uint64_t count = 0;
    for (std::size_t row = 0; row < steering.waits().size(); ++row) {
        count += steering.waits().at(row);
        const auto bound = row < kWaitBoundsMs.size() ? fmt::format("{}", kWaitBoundsMs.at(row)) : "+Inf";
        text += fmt::format("medlarway_wait_milliseconds_bucket{{le=\"{}\"}} {}\n", bound, count);
    }
    text += fmt::format("medlarway_wait_milliseconds_sum {}\nmedlarway_wait_milliseconds_count {}\n", inMilliseconds(steering.waitSum()),
                        count);
    return text;
}

} // namespace

std::string entryMetrics(const FlowSteering &steering, const PacketSocketCounts &counts)
{
    std::string text = countersAsText();
    text += "# HELP medlarway_packets_total clients' packets by what was decided\n# TYPE medlarway_packets_total counter\n";
    for (std::size_t row = 0; row < steering.counts().size(); ++row) {
        text += fmt::format("medlarway_packets_total{{reason=\"{}\"}} {}\n", reasonName(static_cast<SteeringReason>(row)),
                            steering.counts().at(row));
    }
    text += "# HELP medlarway_upstreams_passed_over_total upstreams passed over for new flows, by the reason\n"
            "# TYPE medlarway_upstreams_passed_over_total counter\n";
    for (auto row = static_cast<std::size_t>(PassedOver::No) + 1; row < steering.passedOverCounts().size(); ++row) {
        text += fmt::format("medlarway_upstreams_passed_over_total{{reason=\"{}\"}} {}\n", passedOverName(static_cast<PassedOver>(row)),
                            steering.passedOverCounts().at(row));
    }
    text
        += fmt::format("# HELP medlarway_flows flows remembered\n# TYPE medlarway_flows gauge\nmedlarway_flows {}\n", steering.flowCount());
    text += fmt::format("# HELP medlarway_packets_received_total datagrams received\n# TYPE medlarway_packets_received_total counter\n"
                        "medlarway_packets_received_total {}\n",
                        counts.received);
    text += fmt::format("# HELP medlarway_packets_sent_total datagrams sent\n# TYPE medlarway_packets_sent_total counter\n"
                        "medlarway_packets_sent_total {}\n",
                        counts.sent);
    text += fmt::format("# HELP medlarway_packets_unsent_total datagrams that the kernel refused\n"
                        "# TYPE medlarway_packets_unsent_total counter\nmedlarway_packets_unsent_total {}\n",
                        counts.sendFailures);
    text += fmt::format(
        "# HELP medlarway_speed_batches_discarded_total batches of response times discarded as the link or the service was slow\n"
        "# TYPE medlarway_speed_batches_discarded_total counter\nmedlarway_speed_batches_discarded_total {}\n",
        steering.speeds().discardedBatches());
    text += loadMetrics(steering);
    return text;
}

std::string entryState(const FlowSteering &steering, const EntryStatus &status, Time now)
{
    auto upstreams = nlohmann::json::array();
    for (const auto &upstream : steering.directory().all()) {
        if (!upstream.entry.id.empty()) {
            upstreams.push_back(upstreamState(upstream, now));
        }
    }
    auto peers = nlohmann::json::array();
    for (const auto &peer : status.peers) {
        peers.push_back(endpointToString(peer));
    }
    const nlohmann::json state{
        {"host", {{"name", status.name}, {"zone", status.zone}, {"ready", status.ready}, {"stopping", status.stopping}}},
        {"platform",
         {{"answers", status.storeReachable},
          {"secondsSinceAnswer",
           status.lastStoreResponse == Time{} ? nlohmann::json(nullptr) : nlohmann::json(inSeconds(now - status.lastStoreResponse))},
          {"readUpTo", revisionToString(status.storeRevision)},
          {"knownUpTo", revisionToString(status.knownRevision)},
          {"secondsSinceConfirmed",
           status.confirmedAt == Time{} ? nlohmann::json(nullptr) : nlohmann::json(inSeconds(now - status.confirmedAt))},
          {"source", status.source == status.self ? "platform" : endpointToString(endpointOf(status.source))},
          {"reads", status.readReason},
          {"zoneHosts", status.zoneHosts},
          {"waitingFollowers", status.heldRequests}}},
        {"peers", std::move(peers)},
        {"configVersion", steering.routes().version()},
        {"routes", steering.routes().config().routes.size()},
        {"flows", steering.flowCount()},
        {"evacuatedZones", evacuationState(steering.directory(), now)},
        {"load", {{"pools", poolStates(steering.pools(), now)}, {"routes", routeStates(steering.pools())}}},
        {"upstreams", std::move(upstreams)}};
    return toText(state);
}

std::string entryFlows(const FlowSteering &steering, std::size_t maxFlows, Time now)
{
    auto flows = nlohmann::json::array();
    for (const auto &[id, flow] : steering.flows()) {
        if (flows.size() == maxFlows) {
            break;
        }
        const auto &upstream = steering.directory().at(flow.upstream);
        flows.push_back({{"client", endpointToString(id.client)},
                         {"destination", endpointToString(id.destination)},
                         {"upstream", upstream.entry.id},
                         {"token", upstream.flowToken},
                         {"opening", flow.synSent},
                         {"running", flow.running},
                         {"stalled", flow.stalled},
                         {"closing", flow.closing},
                         {"secondsSinceHeard", inSeconds(now - flow.lastSeen)}});
    }
    return toText({{"remembered", steering.flowCount()}, {"shown", flows.size()}, {"flows", std::move(flows)}});
}

} // namespace medlarway
