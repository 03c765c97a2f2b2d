#include "platform/store_values.h"

#include "base/json_depth.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sodium.h>
#include <utility>

namespace medlarway
{

namespace
{

using Json = nlohmann::json;

// Far above any sensible duration of an operator or an upstream; keeps sums of times within range.
constexpr std::uint64_t kMaxMilliseconds = 24ULL * 3600 * 1000;
constexpr std::uint32_t kMaxSlots = 1'000'000;
constexpr double kMaxPerSecond = 1e9; // far above what an upstream can handle
constexpr std::size_t kMaxNameBytes = 255;

// The largest integer that every JSON implementation represents exactly (RFC 8259, section 6).
constexpr std::uint64_t kMaxStartMs = (1ULL << 53U) - 1;
constexpr std::uint32_t kMaxWeight = 1'000'000;

std::optional<std::string> stringField(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::uint64_t> unsignedField(const Json &object, const char *key, std::uint64_t max = UINT64_MAX)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > max) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

bool isName(const Json &value)
{
    return value.is_string() && !value.get_ref<const std::string &>().empty()
           && value.get_ref<const std::string &>().size() <= kMaxNameBytes;
}

bool isUnsignedUpTo(const Json &value, std::uint64_t max)
{
    return value.is_number_unsigned() && value.get<std::uint64_t>() <= max;
}

// A process can't listen on an address of 0.0.0.0/8, a multicast address or a reserved one.
bool isUnicastAddress(const Json &value)
{
    constexpr unsigned kFirstOctetShift = 24;
    constexpr std::uint32_t kFirstMulticastOctet = 224;
    const auto endpoint = value.is_string() ? parseEndpoint(value.get_ref<const std::string &>()) : std::nullopt;
    const auto firstOctet = endpoint ? endpoint->address >> kFirstOctetShift : 0;
    return endpoint && endpoint->port != 0 && firstOctet != 0 && firstOctet < kFirstMulticastOctet;
}

// A field that every upstream writes, and whether a value of it is valid.
struct UpstreamField {
    const char *name;
    bool (*isValid)(const Json &value);
};

constexpr std::array<UpstreamField, 8> kUpstreamFields{{
    {"service", isName},
    {"address", isUnicastAddress},
    {"zone", isName},
    {"version", [](const Json &value) { return value.is_string(); }},
    {"concurrency", [](const Json &value) { return isUnsignedUpTo(value, kMaxSlots) && value != 0U; }},
    {"state", [](const Json &value) { return value == "ready" || value == "draining"; }},
    {"warmup-left-ms", [](const Json &value) { return isUnsignedUpTo(value, kMaxMilliseconds); }},
    {"sequence", [](const Json &value) { return value.is_number_unsigned(); }},
}};

std::string_view invalidField(std::string_view id, const Json &object)
{
    if (!upstreamNumber(id)) {
        return "id";
    }
    for (const auto &field : kUpstreamFields) {
        const auto found = object.find(field.name);
        if (found == object.end() || !field.isValid(*found)) {
            return field.name;
        }
    }
    const auto born = object.find("born");
    return born == object.end() || !isUnsignedUpTo(*born, kMaxStartMs) || *born == 0U ? "born" : "";
}

Duration fromMilliseconds(std::uint64_t count)
{
    return std::chrono::milliseconds{static_cast<std::int64_t>(count)};
}

std::optional<std::string> decodeBase64(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3 + 3, '\0');
    std::size_t length = 0;
    if (sodium_base642bin(reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &length,
                          nullptr, sodium_base64_VARIANT_ORIGINAL)
        != 0) {
        return std::nullopt;
    }
    bytes.resize(length);
    return bytes;
}

// An item with an invalid base64 value is kept with an empty value, so that the reader learns that the key's entry became unusable.
std::optional<StoreItem> decodeItem(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto key = stringField(object, "key");
    const auto revision = unsignedField(object, "revision");
    if (!key || !revision) {
        return std::nullopt;
    }
    StoreItem item{*key, {}, *revision, false};
    const auto deleted = object.find("deleted");
    item.deleted = deleted != object.end() && deleted->is_boolean() && deleted->get<bool>();
    if (!item.deleted) {
        item.value = decodeBase64(stringField(object, "value").value_or("")).value_or("");
    }
    return item;
}

// A route has either a single service or a list of services with weights. Services of weight 0 are left out.
std::optional<std::vector<RouteTarget>> decodeTargets(const Json &object)
{
    std::vector<RouteTarget> targets;
    if (const auto service = stringField(object, "service")) {
        targets.push_back({*service, 1});
        return targets;
    }
    const auto list = object.find("backends");
    if (list == object.end() || !list->is_array()) {
        return std::nullopt;
    }
    for (const auto &entry : *list) {
        if (!entry.is_object()) {
            return std::nullopt;
        }
        const auto service = stringField(entry, "service");
        const auto weight = unsignedField(entry, "weight", kMaxWeight);
        if (!service || !weight) {
            return std::nullopt;
        }
        if (*weight > 0) {
            targets.push_back({*service, static_cast<std::uint32_t>(*weight)});
        }
    }
    return targets;
}

RouteKind parseRouteKind(const std::optional<std::string> &name)
{
    if (name == "idempotent") {
        return RouteKind::Idempotent;
    }
    if (name == "download") {
        return RouteKind::Download;
    }
    // An unknown type may not be safe to repeat.
    return RouteKind::NonIdempotent;
}

// Despite their names, "host" holds an IP address and "prefix" a port between slashes, as in "/8443/".
std::optional<Endpoint> routeAddress(const std::string &host, std::string_view prefix)
{
    if (prefix.size() < 3 || prefix.front() != '/' || prefix.back() != '/') {
        return std::nullopt;
    }
    return parseEndpoint(host + ":" + std::string(prefix.substr(1, prefix.size() - 2)));
}

std::optional<FlowRoute> decodeRoute(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto name = stringField(object, "name");
    const auto address = routeAddress(stringField(object, "host").value_or(""), stringField(object, "prefix").value_or(""));
    auto targets = decodeTargets(object);
    if (!name || !address || !targets) {
        return std::nullopt;
    }
    FlowRoute route;
    route.name = *name;
    route.address = *address;
    route.kind = parseRouteKind(stringField(object, "type"));
    route.deadline = fromMilliseconds(unsignedField(object, "timeout-ms", kMaxMilliseconds).value_or(0));
    route.targetLatency = fromMilliseconds(unsignedField(object, "target-latency-ms", kMaxMilliseconds).value_or(0));
    route.priority = static_cast<std::uint32_t>(unsignedField(object, "priority", UINT32_MAX).value_or(0));
    route.targets = std::move(*targets);
    return route;
}

// Entries without a name are ignored.
std::vector<std::string> decodeServices(const Json &config)
{
    std::vector<std::string> services;
    const auto list = config.find("services");
    if (list == config.end() || !list->is_array()) {
        return services;
    }
    for (const auto &entry : *list) {
        if (const auto name = entry.is_object() ? stringField(entry, "name") : std::nullopt) {
            services.push_back(*name);
        }
    }
    return services;
}

std::optional<double> positiveField(const Json &object, const char *key, double max)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number()) {
        return std::nullopt;
    }
    const auto number = found->get<double>();
    return number > 0 && number <= max ? std::optional(number) : std::nullopt;
}

// A service without a valid number of requests per second has no limit.
std::vector<ServiceWarmUp> decodeWarmUps(const Json &config)
{
    std::vector<ServiceWarmUp> warmUps;
    const auto list = config.find("services");
    if (list == config.end() || !list->is_array()) {
        return warmUps;
    }
    for (const auto &entry : *list) {
        const auto name = entry.is_object() ? stringField(entry, "name") : std::nullopt;
        const auto perSecond = name ? positiveField(entry, "warmup-per-s", kMaxPerSecond) : std::nullopt;
        if (perSecond) {
            const std::chrono::duration<double> duration(positiveField(entry, "warmup-s", kMaxMilliseconds / 1000.0).value_or(0));
            warmUps.push_back({*name, *perSecond, std::chrono::duration_cast<Duration>(duration)});
        }
    }
    return warmUps;
}

// The value must not be copied: the library recurses once for each level then, and any client of the store may write one that is nested
// deeply enough to exhaust the stack.
Json parseObject(std::string_view text)
{
    auto value = Json::parse(text, nullptr, false);
    return value.is_object() ? std::move(value) : Json::object();
}

// An upstream writes a flat object of some hundred bytes. Anything far beyond that is not parsed, as it would cost time and memory.
Json parseEntry(std::string_view text)
{
    constexpr std::size_t kMaxEntryBytes = 64 * 1024;
    constexpr int kMaxEntryDepth = 16;
    const bool isBounded = text.size() <= kMaxEntryBytes && isNestedUpTo(kMaxEntryDepth, text, Json::input_format_t::json);
    return isBounded ? parseObject(text) : Json::object();
}

} // namespace

std::optional<StoreResponse> decodeStoreResponse(std::string_view body)
{
    const auto object = parseObject(body);
    const auto asOf = unsignedField(object, "as-of");
    const auto list = object.contains("events") ? object.find("events") : object.find("items");
    if (!asOf || list == object.end() || !list->is_array()) {
        return std::nullopt;
    }
    StoreResponse response;
    response.asOf = *asOf;
    const auto more = object.find("has-more");
    response.hasMore = more != object.end() && more->is_boolean() && more->get<bool>();
    response.items.reserve(list->size());
    for (const auto &entry : *list) {
        auto item = decodeItem(entry);
        if (!item) {
            return std::nullopt;
        }
        response.items.push_back(std::move(*item));
    }
    return response;
}

std::optional<StoreResponse> decodeStoreItem(std::string_view body)
{
    const auto object = parseObject(body);
    const auto asOf = unsignedField(object, "as-of");
    auto item = decodeItem(object);
    if (!asOf || !item) {
        return std::nullopt;
    }
    return StoreResponse{{std::move(*item)}, false, *asOf};
}

std::optional<std::uint64_t> upstreamNumber(std::string_view id)
{
    const auto dash = id.rfind('-');
    const auto digits = dash == std::string_view::npos ? id : id.substr(dash + 1);
    std::uint64_t number = 0;
    const auto *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, number, 16);
    if (error != std::errc{} || rest != end || number == 0) {
        return std::nullopt;
    }
    return number;
}

std::string_view invalidUpstreamField(std::string_view id, std::string_view value)
{
    return invalidField(id, parseEntry(value));
}

// The entry is used as a whole or not at all: one that another writer wrote may resemble an upstream's in some fields.
std::optional<UpstreamEntry> decodeUpstream(std::string_view id, std::string_view value, const Revision &revision)
{
    const auto object = parseEntry(value);
    if (!invalidField(id, object).empty()) {
        return std::nullopt;
    }
    UpstreamEntry entry;
    entry.id = std::string(id);
    entry.number = *upstreamNumber(id);
    entry.address = *parseEndpoint(*stringField(object, "address"));
    entry.service = *stringField(object, "service");
    entry.zone.name = *stringField(object, "zone");
    entry.slots = static_cast<std::uint32_t>(*unsignedField(object, "concurrency"));
    entry.draining = object["state"] == "draining";
    entry.warmUpLeft = fromMilliseconds(*unsignedField(object, "warmup-left-ms"));
    entry.startMs = unsignedField(object, "born").value_or(0);
    entry.revision = revision;
    return entry;
}

std::optional<RouteConfig> decodeConfig(std::string_view value)
{
    const auto object = parseObject(value);
    const auto version = unsignedField(object, "version");
    const auto list = object.find("routes");
    if (!version || list == object.end() || !list->is_array()) {
        return std::nullopt;
    }
    RouteConfig config;
    config.version = *version;
    config.routes.reserve(list->size());
    for (const auto &entry : *list) {
        auto route = decodeRoute(entry);
        if (!route) {
            return std::nullopt;
        }
        config.routes.push_back(std::move(*route));
    }
    config.services = decodeServices(object);
    config.warmUps = decodeWarmUps(object);
    const auto limits = object.find("limits");
    if (limits != object.end() && limits->is_object()) {
        if (const auto idle = unsignedField(*limits, "idle-timeout-ms", kMaxMilliseconds)) {
            config.idleTimeout = fromMilliseconds(*idle);
        }
    }
    return config;
}

// The value is checked without being stored, as it may be nested to any depth.
ZoneEvacuation decodeEvacuation(std::string_view zone, std::string_view value, const Revision &revision)
{
    constexpr std::string_view kJsonWhitespace = " \t\r\n";
    const bool isNamed = !zone.empty() && zone.size() <= kMaxZoneBytes;
    const auto first = value.find_first_not_of(kJsonWhitespace);
    const bool isObject = first != std::string_view::npos && value[first] == '{' && Json::accept(value);
    return {{std::string(zone)}, isNamed && isObject, revision};
}

} // namespace medlarway
