#include "catalogue/catalogue_text.h"

#include "catalogue/catalogue_check.h"
#include "yaml/map_reader.h"

#include <chrono>

namespace medlarway
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Range<std::uint32_t> kSlots{1, 10'000};
constexpr Range<std::uint32_t> kConnections{1, 1'000'000};
constexpr Range<std::uint32_t> kQueueLength{0, 1'000'000};
constexpr Range<Duration> kDeadline{milliseconds{1}, hours{24}};
constexpr Range<Duration> kIdleTimeout{seconds{1}, hours{48}};
constexpr Range<Duration> kKeyWindow{seconds{1}, hours{48}};
constexpr Range<std::uint64_t> kRequestBytes{0, 1ULL << 40U};

void readLimits(const YAML::Node &node, ServiceLimits &limits, Faults &faults)
{
    MapReader reader(node, "limits", faults);
    reader.number("slots-per-upstream", limits.slotsPerUpstream, kSlots);
    reader.number("connections-per-upstream", limits.connectionsPerUpstream, kConnections);
    reader.number("queue-length", limits.queueLength, kQueueLength);
    reader.duration("default-deadline", limits.defaultDeadline, kDeadline);
    reader.duration("longest-deadline", limits.longestDeadline, kDeadline);
    reader.duration("short-bound", limits.shortBound, kDeadline);
    reader.byteCount("request-bytes", limits.requestBytes, kRequestBytes);
    reader.duration("idle-timeout", limits.idleTimeout, kIdleTimeout);
    reader.duration("key-window", limits.keyWindow, kKeyWindow);
    reader.rejectUnknownKeys();
}

Upstream readUpstream(const YAML::Node &node, Faults &faults)
{
    Upstream upstream;
    MapReader reader(node, "upstream", faults);
    reader.require("address").endpoint("address", upstream.address);
    reader.require("zone").text("zone", upstream.zone.name);
    reader.flag("draining", upstream.draining);
    reader.rejectUnknownKeys();
    return upstream;
}

ParsedService readService(const YAML::Node &node, Faults &faults)
{
    ParsedService parsed;
    parsed.position = positionOf(node);
    auto &service = parsed.service;
    MapReader reader(node, "service", faults);
    reader.require("name").text("name", service.name);
    reader.require("owner").text("owner", service.owner);
    reader.require("class").choice<ServiceClass>(
        "class", service.serviceClass,
        {{"idempotent", ServiceClass::Idempotent}, {"protected", ServiceClass::Protected}, {"feed", ServiceClass::Feed}});
    reader.require("kind").choice<ServiceKind>(
        "kind", service.kind, {{"stream", ServiceKind::Stream}, {"http", ServiceKind::Http}, {"datagram", ServiceKind::Datagram}});
    reader.require("address").endpoint("address", service.address);
    for (const auto &upstream : reader.require("upstreams").list("upstreams", kMaxUpstreams)) {
        service.upstreams.push_back(readUpstream(upstream, faults));
        parsed.upstreamPositions.push_back(positionOf(upstream));
    }
    if (const auto limits = reader.node("limits")) {
        readLimits(*limits, service.limits, faults);
    }
    reader.rejectUnknownKeys();
    return parsed;
}

// Returns the services that were parsed without errors; checking the others would only report consequential errors.
// Stops as soon as the total number of upstreams exceeds its limit, since YAML aliases can repeat a long list many times.
std::vector<ParsedService> readServices(MapReader &top, Faults &faults)
{
    std::vector<ParsedService> services;
    std::size_t upstreams = 0;
    for (const auto &node : top.list("services", kMaxServices)) {
        const auto before = faults.size();
        auto parsed = readService(node, faults);
        upstreams += parsed.service.upstreams.size();
        if (faults.size() == before) {
            services.push_back(std::move(parsed));
        }
        if (upstreams > kMaxUpstreams) {
            top.addError("services", "have more than " + std::to_string(kMaxUpstreams) + " upstreams");
            break;
        }
    }
    return services;
}

} // namespace

Parsed<std::vector<Service>> parseCatalogue(std::string_view text)
{
    Parsed<std::vector<Service>> result;
    const auto document = readDocument(text, result.faults);
    if (!document) {
        return result;
    }
    // Step 1. Parse each entry.
    MapReader top(*document, "catalogue", result.faults);
    top.require("services");
    auto parsed = readServices(top, result.faults);
    top.rejectUnknownKeys();
    // Step 2. Check the services that were parsed without errors.
    const auto together = checkServices(parsed);
    result.faults.insert(result.faults.end(), together.begin(), together.end());
    if (result.faults.empty()) {
        result.value.emplace();
        for (auto &entry : parsed) {
            result.value->push_back(std::move(entry.service));
        }
    }
    sortFaults(result.faults);
    return result;
}

} // namespace medlarway
