#pragma once

#include "base/host_list.h"
#include "catalogue/service.h"

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

namespace medlarway
{

/// Lists the catalogue shards and availability zones of the platform.
struct PlatformIndex {
    std::uint64_t revision = 0;
    std::vector<std::string> shards;
    std::vector<std::string> zones;

    friend bool operator==(const PlatformIndex &, const PlatformIndex &) = default;
};

/// A value read from the platform. It is valid in itself, and its revision is not lower than any that this source delivered for the same
/// key.
using PlatformUpdate = std::variant<PlatformIndex, CatalogueShard, HostList>;

/// Receives an update; returns false if it can't accept it now, and the source offers it again later.
using PlatformSink = std::function<bool(const PlatformUpdate &)>;

/// A key to watch, and the revision that the caller already has; only later revisions are delivered.
struct WatchedKey {
    std::string key;
    std::uint64_t knownRevision = 0;

    friend bool operator==(const WatchedKey &, const WatchedKey &) = default;
};

/// The platform's keys of the index, of a shard and of a zone's host list.
inline constexpr std::string_view kIndexKey = "catalogue";
std::string shardKey(const std::string &shard);
std::string hostsKey(const std::string &zone);

/// Source of the catalogue and the host lists. Not thread-safe: all functions must be called, and the sink is called, on the thread that
/// runs the source's context.
class PlatformSource
{
public:
    PlatformSource() = default;
    PlatformSource(const PlatformSource &) = delete;
    PlatformSource &operator=(const PlatformSource &) = delete;
    virtual ~PlatformSource() = default;

    /// Starts reading and watching.
    virtual void start() = 0;

    /// Replaces the set of watched keys. A file source ignores it and delivers everything.
    virtual void setWatchedKeys(const std::vector<WatchedKey> &keys) = 0;

    /// Stops reading. Nothing is delivered afterwards.
    virtual void stop() = 0;

    /// The state as a JSON object, for the /state page.
    virtual std::string stateAsJson() const = 0;
};

} // namespace medlarway
