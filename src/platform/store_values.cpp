#include "platform/store_values.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sodium.h>

namespace medlarway
{

namespace
{

using Json = nlohmann::json;

// Far above any span that an operator or an upstream may mean; keeps sums of times in range.
constexpr std::uint64_t kLongestMilliseconds = 24ULL * 3600 * 1000;
constexpr std::uint32_t kMostSlots = 1'000'000;
constexpr std::uint32_t kMostWeight = 1'000'000;

std::optional<std::string> textOf(const Json &object, const char *key)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

std::optional<std::uint64_t> countOf(const Json &object, const char *key, std::uint64_t highest = UINT64_MAX)
{
    const auto found = object.find(key);
    if (found == object.end() || !found->is_number_unsigned() || found->get<std::uint64_t>() > highest) {
        return std::nullopt;
    }
    return found->get<std::uint64_t>();
}

Duration millisecondsOf(std::uint64_t count)
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

// An item whose value is no base64 is kept with an empty value: its key still says that it exists and can't be used.
std::optional<StoreItem> decodeItem(const Json &object)
{
    if (!object.is_object()) {
        return std::nullopt;
    }
    const auto key = textOf(object, "key");
    const auto revision = countOf(object, "revision");
    if (!key || !revision) {
        return std::nullopt;
    }
    StoreItem item{*key, {}, *revision, false};
    const auto deleted = object.find("deleted");
    item.deleted = deleted != object.end() && deleted->is_boolean() && deleted->get<bool>();
    if (!item.deleted) {
        item.value = decodeBase64(textOf(object, "value").value_or("")).value_or("");
    }
    return item;
}

// A route names its service, or several with weights.
std::optional<std::vector<RouteTarget>> decodeTargets(const Json &object)
{
    std::vector<RouteTarget> targets;
    if (const auto service = textOf(object, "service")) {
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
        const auto service = textOf(entry, "service");
        const auto weight = countOf(entry, "weight", kMostWeight);
        if (!service || !weight) {
            return std::nullopt;
        }
        if (*weight > 0) {
            targets.push_back({*service, static_cast<std::uint32_t>(*weight)});
        }
    }
    return targets;
}

RouteKind kindOf(const std::optional<std::string> &word)
{
    if (word == "idempotent") {
        return RouteKind::Idempotent;
    }
    if (word == "download") {
        return RouteKind::Download;
    }
    // What isn't known to be repeatable is taken as not repeatable.
    return RouteKind::NonIdempotent;
}

// "host" holds an address of the platform, "prefix" a port between slashes.
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
    const auto name = textOf(object, "name");
    const auto address = routeAddress(textOf(object, "host").value_or(""), textOf(object, "prefix").value_or(""));
    auto targets = decodeTargets(object);
    if (!name || !address || !targets) {
        return std::nullopt;
    }
    FlowRoute route;
    route.name = *name;
    route.address = *address;
    route.kind = kindOf(textOf(object, "type"));
    route.deadline = millisecondsOf(countOf(object, "timeout-ms", kLongestMilliseconds).value_or(0));
    route.priority = static_cast<std::uint32_t>(countOf(object, "priority", UINT32_MAX).value_or(0));
    route.targets = std::move(*targets);
    return route;
}

// Services without a name name nothing.
std::vector<std::string> decodeServices(const Json &config)
{
    std::vector<std::string> services;
    const auto list = config.find("services");
    if (list == config.end() || !list->is_array()) {
        return services;
    }
    for (const auto &entry : *list) {
        if (const auto name = entry.is_object() ? textOf(entry, "name") : std::nullopt) {
            services.push_back(*name);
        }
    }
    return services;
}

Json parseObject(std::string_view text)
{
    auto value = Json::parse(text, nullptr, false);
    return value.is_object() ? value : Json::object();
}

} // namespace

std::optional<StoreAnswer> decodeStoreAnswer(std::string_view body)
{
    const auto object = parseObject(body);
    const auto asOf = countOf(object, "as-of");
    const auto list = object.contains("events") ? object.find("events") : object.find("items");
    if (!asOf || list == object.end() || !list->is_array()) {
        return std::nullopt;
    }
    StoreAnswer answer;
    answer.asOf = *asOf;
    const auto more = object.find("has-more");
    answer.hasMore = more != object.end() && more->is_boolean() && more->get<bool>();
    answer.items.reserve(list->size());
    for (const auto &entry : *list) {
        auto item = decodeItem(entry);
        if (!item) {
            return std::nullopt;
        }
        answer.items.push_back(std::move(*item));
    }
    return answer;
}

std::optional<StoreAnswer> decodeStoreItem(std::string_view body)
{
    const auto object = parseObject(body);
    const auto asOf = countOf(object, "as-of");
    auto item = decodeItem(object);
    if (!asOf || !item) {
        return std::nullopt;
    }
    return StoreAnswer{{std::move(*item)}, false, *asOf};
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

std::optional<UpstreamEntry> decodeUpstream(std::string_view id, std::string_view value, std::uint64_t revision)
{
    const auto object = parseObject(value);
    const auto number = upstreamNumber(id);
    const auto service = textOf(object, "service");
    const auto address = parseEndpoint(textOf(object, "address").value_or(""));
    const auto zone = textOf(object, "zone");
    const auto state = textOf(object, "state");
    const auto slots = countOf(object, "concurrency", kMostSlots);
    const auto warmUp = countOf(object, "warmup-left-ms", kLongestMilliseconds);
    const bool bornIsGood = !object.contains("born") || countOf(object, "born");
    const bool stateIsGood = state == "ready" || state == "draining";
    if (!number || !service || service->empty() || !address || address->port == 0 || !zone || !stateIsGood || !slots || !warmUp
        || !countOf(object, "sequence") || !bornIsGood) {
        return std::nullopt;
    }
    UpstreamEntry entry;
    entry.id = std::string(id);
    entry.number = *number;
    entry.address = *address;
    entry.service = *service;
    entry.zone.name = *zone;
    entry.slots = static_cast<std::uint32_t>(*slots);
    entry.draining = state == "draining";
    entry.warmUpLeft = millisecondsOf(*warmUp);
    entry.startMs = countOf(object, "born").value_or(0);
    entry.revision = revision;
    return entry;
}

std::optional<RouteConfig> decodeConfig(std::string_view value)
{
    const auto object = parseObject(value);
    const auto version = countOf(object, "version");
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
    const auto limits = object.find("limits");
    if (limits != object.end() && limits->is_object()) {
        if (const auto idle = countOf(*limits, "idle-timeout-ms", kLongestMilliseconds)) {
            config.idleTimeout = millisecondsOf(*idle);
        }
    }
    return config;
}

} // namespace medlarway
