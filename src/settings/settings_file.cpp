#include "settings/settings_file.h"

#include "base/errors.h"
#include "settings/settings_builder.h"
#include "yaml/map_reader.h"
#include "yaml/text_file.h"

#include <chrono>
#include <filesystem>

namespace medlarway
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;

constexpr std::uint64_t kLongestFileBytes = 1ULL << 20U;
constexpr std::size_t kMostListedHosts = 4096;
constexpr Range<std::uint32_t> kDataThreads{1, 64};
constexpr Range<std::uint32_t> kPeerBytesPerSecond{1000, 1'000'000'000};
constexpr Range<std::uint32_t> kHeadBytes{1024, 1U << 20U};
constexpr Range<std::uint32_t> kFlows{1, 100'000'000};
constexpr Range<Duration> kHeadTimeout{milliseconds{100}, std::chrono::minutes{10}};
constexpr Range<Duration> kListGiveUp{milliseconds{0}, hours{24}};
constexpr Range<Duration> kGuardWindow{std::chrono::seconds{1}, hours{24}};
constexpr Range<Duration> kGrace{milliseconds{0}, hours{48}};

// A section of the settings; an empty map where the key is missing, so that defaults stay.
YAML::Node sectionOf(MapReader &reader, std::string_view key)
{
    return reader.node(key).value_or(YAML::Node(YAML::NodeType::Map));
}

// Only sound sections reach the builder, else one fault would be told twice.
void readHost(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    const auto node = top.require("host").node("host");
    if (!node) {
        return;
    }
    const auto before = faults.size();
    MapReader reader(*node, "host", faults);
    std::uint32_t address = 0;
    AvailabilityZone zone;
    reader.require("address").address("address", address).require("zone").text("zone", zone.name).rejectUnknownKeys();
    if (faults.size() == before) {
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
    const auto before = faults.size();
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
    if (faults.size() == before) {
        builder.peers(peers, reader.position("listen"));
    } else {
        builder.peersFaulty();
    }
}

void readPlatform(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    const auto node = top.require("platform").node("platform");
    if (!node) {
        return;
    }
    const auto before = faults.size();
    MapReader reader(*node, "platform", faults);
    PlatformSettings platform;
    reader.text("catalogue-file", platform.catalogueFile);
    if (reader.node("address")) {
        reader.endpoint("address", platform.address.emplace());
    }
    reader.rejectUnknownKeys();
    if (faults.size() == before) {
        builder.platform(platform, positionOf(*node));
    }
}

void readHosts(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    for (const auto &node : top.list("hosts", kMostListedHosts)) {
        const auto before = faults.size();
        MapReader reader(node, "hosts", faults);
        ListedHost host;
        reader.require("address").endpoint("address", host.address).require("zone").text("zone", host.zone.name).rejectUnknownKeys();
        if (faults.size() == before) {
            builder.listedHost(host, positionOf(node));
        }
    }
}

void readGraces(MapReader &top, SettingsBuilder &builder, Faults &faults)
{
    MapReader reader(sectionOf(top, "graces"), "graces", faults);
    GraceSettings graces;
    reader.duration("requests", graces.requests, kGrace).duration("feeds", graces.feeds, kGrace).rejectUnknownKeys();
    builder.graces(graces);
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
    Settings defaults;
    top.number("data-threads", defaults.dataThreads, kDataThreads);
    top.choice<LogLevel>(
        "log-level", defaults.logLevel,
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}});
    builder.dataThreads(defaults.dataThreads).logLevel(defaults.logLevel);
}

// Turns a path of the settings file into one that holds from any working folder.
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
    // Step 1. Every section by itself.
    MapReader top(*document, "settings", result.faults);
    SettingsBuilder builder;
    readProcess(top, builder);
    readHost(top, builder, result.faults);
    readOperator(top, builder, result.faults);
    readPeers(top, builder, result.faults);
    readPlatform(top, builder, result.faults);
    readHosts(top, builder, result.faults);
    readGraces(top, builder, result.faults);
    readGuard(top, builder, result.faults);
    readLimits(top, builder, result.faults);
    top.rejectUnknownKeys();
    // Step 2. The sound sections together.
    const auto together = builder.faults();
    result.faults.insert(result.faults.end(), together.begin(), together.end());
    if (result.faults.empty()) {
        result.value = builder.build();
    }
    sortFaults(result.faults);
    return result;
}

Settings loadSettings(const std::string &path)
{
    const auto text = readTextFile(path, kLongestFileBytes);
    if (!text) {
        throw Error(ErrorKind::BadSettings, path + ": can't be read or is longer than 1 MiB");
    }
    auto parsed = parseSettings(*text);
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
