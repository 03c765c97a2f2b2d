#include "platform/platform_value.h"

#include "catalogue/catalogue_text.h"
#include "yaml/map_reader.h"

#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr std::string_view kShardPrefix = "catalogue/";
constexpr std::string_view kHostsPrefix = "hosts/";
constexpr std::size_t kMaxShards = 1024;
constexpr std::size_t kMaxZones = 256;
constexpr std::size_t kMaxHosts = 10'000;
constexpr std::size_t kMaxNameLength = 63;

// Names become parts of keys and therefore of request targets, which allow few characters.
bool isKeyPart(std::string_view name)
{
    return !name.empty() && name.size() <= kMaxNameLength
           && name.find_first_not_of("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == std::string_view::npos
           && name.find_first_not_of('.') != std::string_view::npos;
}

std::vector<std::string> readNames(MapReader &reader, std::string_view key, std::size_t max, Faults &faults)
{
    std::vector<std::string> names;
    for (const auto &node : reader.require(key).list(key, max)) {
        if (node.IsScalar() && isKeyPart(node.Scalar())) {
            names.push_back(node.Scalar());
        } else {
            faults.push_back({positionOf(node), fmt::format("index: an entry of '{}' is no name", key)});
        }
    }
    return names;
}

PlatformUpdate readIndex(const YAML::Node &document, std::uint64_t revision, Faults &faults)
{
    PlatformIndex index{revision, {}, {}};
    MapReader reader(document, "index", faults);
    index.shards = readNames(reader, "shards", kMaxShards, faults);
    index.zones = readNames(reader, "zones", kMaxZones, faults);
    reader.refuseUnknown();
    return index;
}

PlatformUpdate readHosts(const YAML::Node &document, const std::string &zone, std::uint64_t revision, Faults &faults)
{
    HostList list{{zone}, revision, {}};
    MapReader reader(document, "host list", faults);
    for (const auto &node : reader.require("hosts").list("hosts", kMaxHosts)) {
        ListedHost host{{}, {zone}, false};
        MapReader entry(node, "host", faults);
        entry.require("address").endpoint("address", host.address).flag("leaving", host.leaving).refuseUnknown();
        list.hosts.push_back(host);
    }
    reader.refuseUnknown();
    return list;
}

} // namespace

std::string shardKey(const std::string &shard)
{
    return std::string(kShardPrefix) + shard;
}

std::string hostsKey(const std::string &zone)
{
    return std::string(kHostsPrefix) + zone;
}

Parsed<PlatformUpdate> parsePlatformValue(const std::string &key, std::uint64_t revision, std::string_view value)
{
    Parsed<PlatformUpdate> result;
    if (value.size() > kMaxValueBytes) {
        result.faults.push_back({{}, fmt::format("the value has {} bytes, at most {} are allowed", value.size(), kMaxValueBytes)});
        return result;
    }
    if (key.starts_with(kShardPrefix)) {
        auto services = parseCatalogue(value);
        result.faults = std::move(services.faults);
        if (services.value) {
            result.value = CatalogueShard{key.substr(kShardPrefix.size()), revision, std::move(*services.value)};
        }
        return result;
    }
    const auto document = readDocument(value, result.faults);
    if (!document) {
        return result;
    }
    PlatformUpdate update;
    if (key == kIndexKey) {
        update = readIndex(*document, revision, result.faults);
    } else if (key.starts_with(kHostsPrefix)) {
        update = readHosts(*document, key.substr(kHostsPrefix.size()), revision, result.faults);
    } else {
        result.faults.push_back({{}, fmt::format("key '{}' is not known", key)});
    }
    if (result.faults.empty()) {
        result.value = std::move(update);
    }
    return result;
}

} // namespace medlarway
