#include "settings/entry_settings.h"

#include "base/errors.h"
#include "yaml/map_reader.h"

#include <charconv>
#include <chrono>
#include <fmt/format.h>
#include <ratio>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::size_t kMaxSeeds = 64;
constexpr double kMaxGraceSeconds = 3600;
constexpr double kMinBoundMs = 1000; // below, hosts could not confirm their data in time
constexpr double kMaxBoundMs = 600'000;
constexpr double kMinOverage = 0.1; // below, limits of a few SYNs per second would leave none
constexpr double kMaxOverage = 1000; // beyond any use of a limit
constexpr double kMaxSlack = 1'000'000; // likewise, in SYNs per second
constexpr Range<std::uint32_t> kFlowsPerHost{1, 100'000'000};

void readSeeds(MapReader &reader, Faults &faults, std::vector<Endpoint> &seeds)
{
    for (const auto &node : reader.list("seeds", kMaxSeeds)) {
        const auto seed = node.IsScalar() ? parseEndpoint(node.Scalar()) : std::nullopt;
        if (seed) {
            seeds.push_back(*seed);
        } else {
            faults.push_back({positionOf(node), "entry: seeds must be addresses with ports"});
        }
    }
}

// A number that may have a fraction, since the platform's own limits may have one. Without a value the default stays.
void readNumber(MapReader &reader, const char *key, double lowest, double highest, std::optional<double> &value)
{
    std::string text;
    reader.text(key, text);
    if (text.empty()) {
        return;
    }
    double number = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    if (error != std::errc{} || rest != end || !(number >= lowest && number <= highest)) {
        reader.addError(key, fmt::format("must be a number from {} to {}", lowest, highest));
        return;
    }
    value = number;
}

template<class Unit>
void readDuration(MapReader &reader, const char *key, double lowest, double highest, Duration &value)
{
    std::optional<double> number;
    readNumber(reader, key, lowest, highest, number);
    if (number) {
        value = std::chrono::duration_cast<Duration>(std::chrono::duration<double, Unit>(*number));
    }
}

void readEntry(const YAML::Node &node, EntrySettings &settings, Faults &faults)
{
    MapReader reader(node, "entry", faults);
    reader.require("name").text("name", settings.name);
    reader.require("zone").text("zone", settings.zone.name);
    reader.choice<LogLevel>(
        "log-level", settings.logLevel,
        {{"debug", LogLevel::Debug}, {"info", LogLevel::Info}, {"warning", LogLevel::Warning}, {"error", LogLevel::Error}});
    reader.require("packets").endpoint("packets", settings.packets);
    reader.require("ready").endpoint("ready", settings.ready);
    reader.require("control").endpoint("control", settings.control);
    reader.require("store").endpoint("store", settings.store);
    reader.require("peers").endpoint("peers", settings.peers);
    readSeeds(reader, faults, settings.seeds);
    readDuration<std::ratio<1>>(reader, "grace-seconds", 0, kMaxGraceSeconds, settings.gracePeriod);
    readDuration<std::milli>(reader, "drain-bound-ms", kMinBoundMs, kMaxBoundMs, settings.drainBound);
    Duration evacuationBound{};
    readDuration<std::milli>(reader, "evacuation-bound-ms", kMinBoundMs, kMaxBoundMs, evacuationBound);
    if (evacuationBound > Duration{}) {
        settings.evacuationBound = evacuationBound;
    }
    readDuration<std::milli>(reader, "config-bound-ms", kMinBoundMs, kMaxBoundMs, settings.configBound);
    readNumber(reader, "warm-up-overage", kMinOverage, kMaxOverage, settings.warmUpOverage);
    readNumber(reader, "warm-up-slack", 0, kMaxSlack, settings.warmUpSlack);
    reader.text("key-file", settings.keyFile);
    reader.text("previous-key-file", settings.previousKeyFile);
    reader.number("flows", settings.flows, kFlowsPerHost);
    reader.rejectUnknownKeys();
    if (settings.ready.port != 0 && settings.ready == settings.control) {
        reader.addError("control", "must differ from ready");
    }
}

} // namespace

bool hasEntrySettings(std::string_view text)
{
    Faults faults;
    const auto document = readDocument(text, faults);
    return document && document->IsMap() && (*document)["entry"];
}

Parsed<EntrySettings> parseEntrySettings(std::string_view text)
{
    Parsed<EntrySettings> result;
    const auto document = readDocument(text, result.faults);
    if (!document) {
        return result;
    }
    MapReader top(*document, "settings", result.faults);
    EntrySettings settings;
    if (const auto node = top.require("entry").node("entry")) {
        readEntry(*node, settings, result.faults);
    }
    top.rejectUnknownKeys();
    if (result.faults.empty()) {
        result.value = std::move(settings);
    }
    sortFaults(result.faults);
    return result;
}

EntrySettings entrySettingsFrom(std::string_view text, const std::string &path)
{
    auto parsed = parseEntrySettings(text);
    if (!parsed.value) {
        throw Error(ErrorKind::BadSettings, faultsToString(parsed.faults, path + ":"));
    }
    return std::move(*parsed.value);
}

std::vector<std::string> changesThatNeedRestart(const EntrySettings &running, const EntrySettings &wanted)
{
    std::vector<std::string> names;
    const auto compare = [&names](const char *name, bool same) {
        if (!same) {
            names.emplace_back(name);
        }
    };
    compare("name", running.name == wanted.name);
    compare("zone", running.zone == wanted.zone);
    compare("packets", running.packets == wanted.packets);
    compare("ready", running.ready == wanted.ready);
    compare("control", running.control == wanted.control);
    compare("store", running.store == wanted.store);
    compare("peers", running.peers == wanted.peers);
    compare("drain-bound-ms", running.drainBound == wanted.drainBound);
    compare("evacuation-bound-ms", running.evacuationBound == wanted.evacuationBound);
    compare("config-bound-ms", running.configBound == wanted.configBound);
    compare("warm-up-overage", running.warmUpOverage == wanted.warmUpOverage);
    compare("warm-up-slack", running.warmUpSlack == wanted.warmUpSlack);
    compare("key-file", running.keyFile == wanted.keyFile);
    compare("previous-key-file", running.previousKeyFile == wanted.previousKeyFile);
    compare("flows", running.flows == wanted.flows);
    return names;
}

} // namespace medlarway
