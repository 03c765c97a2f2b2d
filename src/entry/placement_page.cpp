#include "entry/placement_page.h"

#include "pages/http_status.h"
#include "pages/query.h"
#include "steering/placement_explanation.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

using Json = nlohmann::ordered_json; // keeps the order of the cost's parts

std::string_view actionName(SteeringAction action)
{
    switch (action) {
    case SteeringAction::Forward:
        return "forward";
    case SteeringAction::Reset:
        return "reset";
    case SteeringAction::Drop:
        return "drop";
    case SteeringAction::Hold:
        return "hold";
    }
    return "unknown";
}

Json idOf(const UpstreamDirectory &directory, UpstreamIndex index)
{
    return index == kNoUpstream ? Json(nullptr) : Json(directory.at(index).entry.id);
}

Json candidateJson(const UpstreamDirectory &directory, const PlacementCandidate &candidate, Time now)
{
    const auto &upstream = directory.at(candidate.upstream);
    Json cost = Json::object();
    for (const auto &part : kPlacementCostParts) {
        cost[std::string(part.name)] = candidate.cost.*part.value;
    }
    return {{"upstream", upstream.entry.id},
            {"zone", upstream.entry.zone.name},
            {"passedOver", candidate.reason == PassedOver::No ? Json(nullptr) : Json(passedOverName(candidate.reason))},
            {"mayBeChosen", candidate.mayBeChosen},
            {"onTrial", candidate.onTrial},
            {"total", candidate.cost.total()},
            {"cost", std::move(cost)},
            {"slowness", candidate.cost.slowness},
            {"secondsSinceProgress",
             upstream.liveness.lastProgress == Time{} ? Json(nullptr) : Json(inSeconds(now - upstream.liveness.lastProgress))}};
}

Json zoneJson(const PlacementZone &zone)
{
    Json passedOver = Json::object();
    for (std::size_t reason = 0; reason < zone.byReason.size(); ++reason) {
        if (static_cast<PassedOver>(reason) != PassedOver::No && zone.byReason.at(reason) > 0) {
            passedOver[std::string(passedOverName(static_cast<PassedOver>(reason)))] = zone.byReason.at(reason);
        }
    }
    return {{"zone", zone.zone.name},
            {"upstreams", zone.upstreams},
            {"considered", zone.byReason.at(static_cast<std::size_t>(PassedOver::No))},
            {"passedOver", std::move(passedOver)},
            {"onTrial", zone.onTrial},
            {"unlisted", zone.unlisted},
            {"warmingUp", zone.warmingUp},
            {"warmingUpHere", zone.warmingUpHere},
            {"warmUpSecondsLeft", zone.warmingUp > 0 ? Json(inSeconds(zone.warmUpLeft)) : Json(nullptr)},
            {"evacuatedSeconds", zone.evacuatedFor ? Json(inSeconds(*zone.evacuatedFor)) : Json(nullptr)},
            {"lowestCost", zone.lowestCost ? Json(*zone.lowestCost) : Json(nullptr)}};
}

Json poolJson(const PlacementPool &pool)
{
    return {{"service", pool.service},
            {"zone", pool.zone.name},
            {"slots", pool.slots},
            {"limit", pool.limit},
            {"share", pool.share},
            {"load", pool.load},
            {"room", pool.hasRoom},
            {"kept", pool.isKept},
            {"told", pool.told ? Json{{"requests", *pool.told}, {"seconds", inSeconds(pool.toldAge)}} : Json(nullptr)}};
}

// Whether shares limit the flow, the pools, and what it would meet without room. Pools are empty for a route without a target latency.
Json overloadJson(const PlacementExplanation &explained)
{
    auto pools = Json::array();
    for (const auto &pool : explained.pools) {
        pools.push_back(poolJson(pool));
    }
    Json wait = nullptr;
    if (explained.wait) {
        wait = {{"refused", explained.wait->refused},
                {"longestMs", inMilliseconds(explained.wait->longest)},
                {"before", explained.wait->before},
                {"displaced", explained.wait->displaced}};
    }
    return {{"limited", explained.limited}, {"wait", std::move(wait)}, {"pools", std::move(pools)}};
}

Json routeJson(const PlacementExplanation &explained)
{
    const auto &route = explained.route;
    auto timesLeft = Json::array();
    for (const auto &left : explained.timesLeft) {
        const auto &times = left.times;
        const auto target = boundedTargetLatency(times.targetLatency, times.deadline);
        timesLeft.push_back(
            {{"sinceFirstSynMs", inMilliseconds(times.elapsed)},
             {"targetLeftMs", inMilliseconds(target - times.elapsed)},
             {"deadlineLeftMs", times.deadline == Duration{} ? Json(nullptr) : Json(inMilliseconds(times.deadline - times.elapsed))},
             {"outlook", outlookName(left.outlook)},
             {"longestWaitMs", inMilliseconds(left.longestWait)}});
    }
    return {{"name", route.name},
            {"priority", route.priority},
            {"busyShare", explained.busyShare},
            {"targetLatencyMs", route.targetLatency == Duration{} ? Json(nullptr) : Json(inMilliseconds(route.targetLatency))},
            {"deadlineMs", route.deadline == Duration{} ? Json(nullptr) : Json(inMilliseconds(route.deadline))},
            {"expectedResponseMs",
             explained.timesLeft.empty() ? Json(nullptr) : Json(inMilliseconds(explained.timesLeft.front().times.response))},
            {"timesLeft", std::move(timesLeft)}};
}

Json pageJson(const FlowSteering &steering, const EntryStatus &status, const PlacementExplanation &explained, Time now)
{
    const auto &directory = steering.directory();
    auto zones = Json::array();
    for (const auto &zone : explained.zones) {
        zones.push_back(zoneJson(zone));
    }
    auto services = Json::array();
    for (const auto &service : explained.services) {
        auto candidates = Json::array();
        for (const auto &candidate : service.candidates) {
            candidates.push_back(candidateJson(directory, candidate, now));
        }
        services.push_back({{"service", service.service},
                            {"weight", service.weight},
                            {"choice", idOf(directory, service.choice)},
                            {"candidates", std::move(candidates)}});
    }
    return {{"to", endpointToString(explained.route.address)},
            {"route", routeJson(explained)},
            {"decision",
             {{"action", actionName(explained.decision.action)},
              {"reason", reasonName(explained.decision.reason)},
              {"upstream", idOf(directory, explained.decision.upstream)}}},
            {"host", {{"name", status.name}, {"zone", status.zone}, {"stopping", status.stopping}}},
            {"data",
             {{"configVersion", steering.routes().version()},
              {"fresh", explained.fresh},
              {"secondsSinceConfirmed", status.confirmedAt == Time{} ? Json(nullptr) : Json(inSeconds(now - status.confirmedAt))}}},
            {"overload", overloadJson(explained)},
            {"zones", std::move(zones)},
            {"services", std::move(services)}};
}

PageResponse plainText(unsigned status, std::string text)
{
    return {status, "text/plain; charset=utf-8", std::move(text) + "\n"};
}

std::string zoneLine(const Json &zone)
{
    const auto upstreams = zone.at("upstreams").get<int>();
    auto text = fmt::format("zone {}: {} upstream{}", zone.at("zone").get<std::string>(), upstreams, upstreams == 1 ? "" : "s");
    if (zone.at("considered") > 0) {
        text += fmt::format(", {} considered", zone.at("considered").get<int>());
    }
    if (zone.at("onTrial") > 0) {
        text += fmt::format(" (of these {} suspected, a trial is due)", zone.at("onTrial").get<int>());
    }
    for (const auto &[reason, count] : zone.at("passedOver").items()) {
        text += fmt::format(", {} {}", count.get<int>(), reason);
    }
    if (zone.at("unlisted") > 0) {
        text += fmt::format(", {} no longer listed", zone.at("unlisted").get<int>());
    }
    if (zone.at("warmingUp") > 0) {
        text += fmt::format("; {} warming up under a limit for {:.1f} s at most, {} used by this host", zone.at("warmingUp").get<int>(),
                            zone.at("warmUpSecondsLeft").get<double>(), zone.at("warmingUpHere").get<int>());
    }
    if (!zone.at("evacuatedSeconds").is_null()) {
        text += fmt::format("; evacuated for {:.1f} s", zone.at("evacuatedSeconds").get<double>());
    }
    if (!zone.at("lowestCost").is_null()) {
        text += fmt::format("; lowest cost {:.2f}", zone.at("lowestCost").get<double>());
    }
    return text + "\n";
}

std::string stateOf(const Json &candidate, const Json &choice)
{
    const bool passedOver = !candidate.at("passedOver").is_null();
    const bool onTrial = candidate.at("onTrial").get<bool>();
    const bool chosen = candidate.at("upstream") == choice;
    if (passedOver) {
        return chosen ? "fallback" : candidate.at("passedOver").get<std::string>();
    }
    if (onTrial) {
        return chosen ? "trial" : "trial-due";
    }
    if (chosen) {
        return "chosen";
    }
    return candidate.at("mayBeChosen").get<bool>() ? "possible" : "-";
}

std::string serviceTable(const Json &service)
{
    const auto &candidates = service.at("candidates");
    const auto &choice = service.at("choice");
    auto text = fmt::format("\nservice {}, weight {}: {}\n", service.at("service").get<std::string>(), service.at("weight").get<int>(),
                            choice.is_null() ? "no upstream" : choice.get<std::string>());
    if (candidates.empty()) {
        return text + "  the platform lists no upstream of it\n";
    }
    text += fmt::format("  {:<24} {:<12} {:<10} {:>9}", "upstream", "zone", "state", "total");
    for (const auto &part : candidates.front().at("cost").items()) {
        text += fmt::format(" {:>10}", part.key());
    }
    text += fmt::format(" {:>9}\n", "slowness");
    for (const auto &candidate : candidates) {
        text += fmt::format("  {:<24} {:<12} {:<10} {:>9.2f}", candidate.at("upstream").get<std::string>(),
                            candidate.at("zone").get<std::string>(), stateOf(candidate, choice), candidate.at("total").get<double>());
        for (const auto &part : candidate.at("cost").items()) {
            text += fmt::format(" {:>10.2f}", part.value().get<double>());
        }
        text += fmt::format(" {:>9.2f}\n", candidate.at("slowness").get<double>());
    }
    return text;
}

std::string waitLine(const Json &wait)
{
    if (wait.at("refused").get<bool>()) {
        return fmt::format("no room: refused at once, as it would wait for more than {} ms behind {} others\n",
                           wait.at("longestMs").get<int>(), wait.at("before").get<int>());
    }
    const auto displaced = wait.at("displaced").get<int>();
    return fmt::format("no room: waits for {} ms at most, behind {} others{}\n", wait.at("longestMs").get<int>(),
                       wait.at("before").get<int>(), displaced == 0 ? "" : fmt::format("; {} less urgent would be refused", displaced));
}

constexpr std::string_view kNoLimitText = " (no limit in force: started or resumed just now, data not fresh, or flow table full)";

std::string_view roomText(const Json &pool)
{
    if (pool.at("room").get<bool>()) {
        return "yes";
    }
    return pool.at("kept").get<bool>() ? "kept" : "no";
}

std::string millisecondsOr(const Json &value, std::string_view none)
{
    return value.is_null() ? std::string(none) : fmt::format("{} ms", value.get<std::int64_t>());
}

// The flows of a route without a target latency neither wait nor are refused, so it has no times left.
std::string timeLines(const Json &route)
{
    if (route.at("targetLatencyMs").is_null() && route.at("deadlineMs").is_null()) {
        return {};
    }
    auto text = fmt::format("target latency {}, deadline {}, expected response {}\n", millisecondsOr(route.at("targetLatencyMs"), "none"),
                            millisecondsOr(route.at("deadlineMs"), "none"), millisecondsOr(route.at("expectedResponseMs"), "unknown"));
    for (const auto &left : route.at("timesLeft")) {
        text += fmt::format("  SYN sent {} ms after the first: {}, {} ms left, {} of the deadline; may wait {} ms\n",
                            left.at("sinceFirstSynMs").get<std::int64_t>(), left.at("outlook").get<std::string>(),
                            left.at("targetLeftMs").get<std::int64_t>(), millisecondsOr(left.at("deadlineLeftMs"), "no limit"),
                            left.at("longestWaitMs").get<std::int64_t>());
    }
    return text + "\n";
}

std::string poolTable(const Json &overload)
{
    const auto &pools = overload.at("pools");
    if (pools.empty()) {
        return {};
    }
    auto text = fmt::format("\npools of upstreams, in requests at once{}\n  {:<16} {:<12} {:>8} {:>8} {:>8} {:>8} {:<5} {}\n",
                            overload.at("limited").get<bool>() ? std::string_view{} : kNoLimitText, "service", "zone", "slots", "limit",
                            "share", "load", "room", "told");
    for (const auto &pool : pools) {
        const auto &told = pool.at("told");
        const auto toldText
            = told.is_null() ? std::string("nothing")
                             : fmt::format("{:.1f}, {:.1f} s ago", told.at("requests").get<double>(), told.at("seconds").get<double>());
        text += fmt::format("  {:<16} {:<12} {:>8.0f} {:>8.1f} {:>8.2f} {:>8.2f} {:<5} {}\n", pool.at("service").get<std::string>(),
                            pool.at("zone").get<std::string>(), pool.at("slots").get<double>(), pool.at("limit").get<double>(),
                            pool.at("share").get<double>(), pool.at("load").get<double>(), roomText(pool), toldText);
    }
    return text;
}

// confirmedAt is also reset by a pause of the process.
std::string dataText(const Json &data)
{
    const auto &age = data.at("secondsSinceConfirmed");
    const auto text
        = age.is_null() ? "not confirmed since the host started or was paused" : fmt::format("confirmed {:.1f} s ago", age.get<double>());
    return text + (data.at("fresh").get<bool>() ? "" : ", not fresh");
}

std::string textOf(const Json &page)
{
    const auto &decision = page.at("decision");
    const auto &upstream = decision.at("upstream");
    const auto &host = page.at("host");
    auto text = fmt::format("a new flow to {} (route {}): {} ({}){}\n", page.at("to").get<std::string>(),
                            page.at("route").at("name").get<std::string>(), decision.at("action").get<std::string>(),
                            decision.at("reason").get<std::string>(), upstream.is_null() ? "" : " to " + upstream.get<std::string>());
    text += fmt::format("host {} in zone {}{}, configuration {}, data {}\n\n", host.at("name").get<std::string>(),
                        host.at("zone").get<std::string>(), host.at("stopping").get<bool>() ? ", stopping" : "",
                        page.at("data").at("configVersion").get<std::uint64_t>(), dataText(page.at("data")));
    text += timeLines(page.at("route"));
    const auto &overload = page.at("overload");
    if (!overload.at("wait").is_null()) {
        text += waitLine(overload.at("wait")) + "\n";
    }
    for (const auto &zone : page.at("zones")) {
        text += zoneLine(zone);
    }
    text += poolTable(overload);
    for (const auto &service : page.at("services")) {
        text += serviceTable(service);
    }
    return text;
}

} // namespace

PageResponse placementPage(const FlowSteering &steering, const EntryStatus &status, std::string_view target, Time now)
{
    const auto parsed = parseTarget(target);
    const auto to = parsed && parsed->query.contains("to") ? parseEndpoint(parsed->query.at("to")) : std::nullopt;
    if (!to) {
        return plainText(kStatusBadRequest, "the page needs ?to=IP:PORT, the address of a route");
    }
    const auto explained = steering.explainPlacement(*to, now);
    if (explained.decision.reason == SteeringReason::NotReady || (!status.ready && !status.stopping)) {
        return plainText(kStatusUnavailable, "the host is not ready: it has not received all of the platform's data yet");
    }
    if (explained.services.empty()) {
        return plainText(kStatusNotFound,
                         fmt::format("no route of configuration {} has the address {}; a new flow would be {}", steering.routes().version(),
                                     endpointToString(*to),
                                     explained.fresh
                                         ? "reset"
                                         : "left unanswered, as the host's data is not fresh and a later configuration may have it"));
    }
    return {kStatusOk, "application/json",
            pageJson(steering, status, explained, now).dump(-1, ' ', false, Json::error_handler_t::replace) + "\n"};
}

std::optional<std::string> placementText(std::string_view page)
{
    try {
        return textOf(Json::parse(page));
    } catch (const Json::exception &) {
        return std::nullopt; // not the page of a host, or that of another version
    }
}

} // namespace medlarway
