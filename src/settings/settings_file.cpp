#include "settings/settings_file.h"

#include "base/errors.h"
#include "settings/settings_builder.h"
#include "yaml/map_reader.h"

#include <chrono>
#include <filesystem>

namespace medlarway
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::size_t kMaxListedHosts = 4096;
constexpr Range<std::uint32_t> kDataThreads{1, 64};
constexpr Range<std::uint32_t> kPeerBytesPerSecond{1000, 1'000'000'000};
constexpr Range<std::uint32_t> kHeadBytes{1024, 1U << 20U};
constexpr Range<std::uint32_t> kFlows{1, 100'000'000};
constexpr Range<Duration> kHeadTimeout{milliseconds{100}, std::chrono::minutes{10}};
constexpr Range<Duration> kListGiveUp{milliseconds{0}, hours{24}};
constexpr Range<Duration> kGuardWindow{std::chrono::seconds{1}, hours{24}};
constexpr Range<Duration> kDrainTimeout{milliseconds{0}, hours{48}};

// Returns a section of the settings; an empty map if the key is missing, so that the defaults apply.
YAML::Node sectionOf(MapReader &reader, std::string_view key)
{
    return reader.node(key).value_or(YAML::Node(YAML::NodeType::Map));
}

// Only sections without errors are passed to the builder. Otherwise its checks would report the same error again.
void readHost(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    const auto node = top.require("host").node("host");
    if (!node) {
        return;
    }
    const auto faultsBefore = faults.size();
    MapReader reader(*node, "host", faults);
    std::uint32_t address = 0;
    AvailabilityZone zone;
    reader.require("address").address("address", address).require("zone").text("zone", zone.name).rejectUnknownKeys();
    if (faults.size() == faultsBefore) {
        builder.host(address, zone, reader.position("address"));
    }
}

void readOperator(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    MapReader reader(sectionOf(top, "operator"), "operator", faults);
    Endpoint listen = Settings{}.operatorListen;
    reader.endpoint("listen", listen).rejectUnknownKeys();
    builder.operatorListen(listen, reader.position("listen"));
}

void readPeers(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    const auto node = top.node("peers");
    if (!node) {
        return;
    }
    const auto faultsBefore = faults.size();
    MapReader reader(*node, "peers", faults);
    PeerSettings peers;
    reader.require("listen").endpoint("listen", peers.listen);
    reader.require("key-file").text("key-file", peers.keyFile);
    if (reader.node("advertise")) {
        reader.endpoint("advertise", peers.advertise.emplace());
    }
    reader.text("previous-key-file", peers.previousKeyFile);
    reader.number("bytes-per-second", peers.bytesPerSecond, kPeerBytesPerSecond);
    reader.number("request-bytes-per-second", peers.requestBytesPerSecond, kPeerBytesPerSecond);
    reader.rejectUnknownKeys();
    if (faults.size() == faultsBefore) {
        builder.peers(peers, reader.position("listen"));
    } else {
        builder.markPeersInvalid();
    }
}

void readPlatform(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    const auto node = top.require("platform").node("platform");
    if (!node) {
        return;
    }
    const auto faultsBefore = faults.size();
    MapReader reader(*node, "platform", faults);
    PlatformSettings platform;
    reader.text("catalogue-file", platform.catalogueFile);
    if (reader.node("address")) {
        reader.endpoint("address", platform.address.emplace());
    }
    reader.rejectUnknownKeys();
    if (faults.size() == faultsBefore) {
        builder.platform(platform, positionOf(*node));
    }
}

void readHosts(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    for (const auto &node : top.list("hosts", kMaxListedHosts)) {
        const auto faultsBefore = faults.size();
        MapReader reader(node, "hosts", faults);
        ListedHost host;
        reader.require("address").endpoint("address", host.address).require("zone").text("zone", host.zone.name).rejectUnknownKeys();
        if (faults.size() == faultsBefore) {
            builder.listedHost(host, positionOf(node));
        }
    }
}

void readDrainTimeouts(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    MapReader reader(sectionOf(top, "graces"), "graces", faults);
    DrainTimeouts timeouts;
    reader.duration("requests", timeouts.requests, kDrainTimeout).duration("feeds", timeouts.feeds, kDrainTimeout).rejectUnknownKeys();
    builder.drainTimeouts(timeouts);
}

void readGuard(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    MapReader reader(sectionOf(top, "guard"), "guard", faults);
    GuardOptions guard;
    reader.duration("window", guard.window, kGuardWindow).duration("list-give-up", guard.listGiveUp, kListGiveUp).rejectUnknownKeys();
    builder.guard(guard);
}

void readLimits(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    MapReader reader(sectionOf(top, "limits"), "limits", faults);
    HostLimits limits;
    reader.number("head-bytes", limits.headBytes, kHeadBytes).duration("head-timeout", limits.headTimeout, kHeadTimeout);
    reader.number("flows", limits.flows, kFlows).rejectUnknownKeys();
    builder.limits(limits);
}

void readProcess(MapReader &top, SettingsBuilder &builder)
{
    Settings settings;
    top.number("data-threads", settings.dataThreads, kDataThreads);
    top.choice<LogLevel>(
        "log-level", settings.logLevel,
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}});
    builder.dataThreads(settings.dataThreads).logLevel(settings.logLevel);
}

// Resolves a path relative to the folder of the settings file, so that it doesn't depend on the working folder.
void resolvePath(std::string &path, const std::filesystem::path &folder)
{
    if (!path.empty()) {
        path = (folder / path).lexically_normal().string();
    }
}

} // namespace

Parsed<Settings> parseSettings(std::string_view text)
{
    Parsed<Settings> result;
    const auto document = readDocument(text, result.faults);
    if (!document) {
        return result;
    }
    // Step 1. Read each section on its own.
    MapReader top(*document, "settings", result.faults);
    SettingsBuilder builder;
    readProcess(top, builder);
    readHost(top, builder, result.faults);
    readOperator(top, builder, result.faults);
    readPeers(top, builder, result.faults);
    readPlatform(top, builder, result.faults);
    readHosts(top, builder, result.faults);
    readDrainTimeouts(top, builder, result.faults);
    readGuard(top, builder, result.faults);
    readLimits(top, builder, result.faults);
    top.rejectUnknownKeys();
    // Step 2. Check that the valid sections are consistent with each other.
    const auto contradictions = builder.faults();
    result.faults.insert(result.faults.end(), contradictions.begin(), contradictions.end());
    if (result.faults.empty()) {
        result.value = builder.build();
    }
    sortFaults(result.faults);
    return result;
}

Settings settingsFrom(std::string_view text, const std::string &path)
{
    auto parsed = parseSettings(text);
    if (!parsed.value) {
        throw Error(ErrorKind::BadSettings, faultsToString(parsed.faults, path + ":"));
    }
    auto &settings = *parsed.value;
    const auto folder = std::filesystem::path(path).parent_path();
    resolvePath(settings.platform.catalogueFile, folder);
    if (settings.peers) {
        resolvePath(settings.peers->keyFile, folder);
        resolvePath(settings.peers->previousKeyFile, folder);
    }
    return settings;
}

} // namespace medlarway
