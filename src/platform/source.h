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

/// Which shards and availability zones the platform has.
struct PlatformIndex {
    std::uint64_t revision = 0;
    std::vector<std::string> shards;
    std::vector<std::string> zones;

    friend bool operator==(const PlatformIndex &, const PlatformIndex &) = default;
};

/// One value of the platform that was read, checked by itself and not older than any that this source read before.
using PlatformUpdate = std::variant<PlatformIndex, CatalogueShard, HostList>;

/// Takes an update; false where it can't now, and it is offered again later.
using PlatformSink = std::function<bool(const PlatformUpdate &)>;

/// A key to watch, and the revision that is known already from elsewhere; only later ones are of interest.
struct WatchedKey {
    std::string key;
    std::uint64_t knownRevision = 0;

    friend bool operator==(const WatchedKey &, const WatchedKey &) = default;
};

/// The key of the index, and those of a shard and of a zone's host list.
inline constexpr std::string_view kIndexKey = "catalogue";
std::string shardKey(const std::string &shard);
std::string hostsKey(const std::string &zone);

/// Where the catalogue and the host lists come from. Everything is called and happens on the thread
/// that runs the source's context.
class PlatformSource
{
public:
    PlatformSource() = default;
    PlatformSource(const PlatformSource &) = delete;
    PlatformSource &operator=(const PlatformSource &) = delete;
    virtual ~PlatformSource() = default;

    /// Begins to read and watch.
    virtual void start() = 0;

    /// Replaces the watched keys; a source that has everything at hand anyway delivers all and ignores it.
    virtual void setWatchedKeys(const std::vector<WatchedKey> &keys) = 0;

    /// Ends what runs. Nothing is delivered after it.
    virtual void stop() = 0;

    /// The state as one JSON object, for the operators' dump.
    virtual std::string stateAsJson() const = 0;
};

} // namespace medlarway
