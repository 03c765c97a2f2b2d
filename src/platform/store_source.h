#pragma once

#include "platform/source.h"
#include "platform/store_client.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace medlarway
{

/// How the catalogue and the host lists are read from the platform's store. docs/PLATFORM.md is the contract.
struct StoreSourceOptions {
    Endpoint address;
    std::uint64_t seed = 1; ///< of the jitter
    Duration wait = std::chrono::seconds{30}; ///< how long the store may hold a watch; 30 s at most
    /// A proxy's catalogue may be minutes old without harm, so a store that is away is not pressed.
    StorePatience patience{std::chrono::seconds{2}, std::chrono::seconds{5}, std::chrono::milliseconds{500}, std::chrono::seconds{30}};
    Duration readInterval = std::chrono::milliseconds{100}; ///< least time between two reads of one key
};

/// What an item means for a reader that knows an earlier revision of its key.
enum class ItemKind : std::uint8_t {
    Newer, ///< a later revision
    NotNewer, ///< the revision that is known
    Stale, ///< a revision below one that was read before; never applied
    Refused, ///< a later revision that was removed or whose value has faults; the last good one stays
};

/// An item of the store, taken apart.
struct ReadItem {
    ItemKind kind = ItemKind::NotNewer;
    std::uint64_t revision = 0;
    std::optional<PlatformUpdate> update; ///< only where it is newer
    std::string detail; ///< what is wrong, where something is
};

/// Takes apart an item of a watched key. Never throws.
ReadItem readItem(const StoreItem &item, std::uint64_t knownRevision);

/// The last of the items that is the key's; a watch also gives those whose keys only begin like it. nullptr where there is none.
const StoreItem *lastOfKey(const StoreAnswer &answer, std::string_view key);

/// Reads and watches the keys in the store.
std::unique_ptr<PlatformSource> makeStoreSource(boost::asio::io_context &context, const StoreSourceOptions &options, PlatformSink sink);

} // namespace medlarway
