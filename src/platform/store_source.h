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

/// Options for reading the catalogue and the host lists from the platform's store. docs/PLATFORM.md specifies the protocol.
struct StoreSourceOptions {
    Endpoint address;
    std::uint64_t seed = 1; ///< seed of the backoff jitter
    Duration wait
        = std::chrono::seconds{30}; ///< how long the store may hold a watch request before it responds; the store allows at most 30 s
    /// Longer than the defaults: a proxy's catalogue may safely be minutes old, so there is no need to retry an unavailable store quickly.
    StoreTimeouts timeouts{std::chrono::seconds{2}, std::chrono::seconds{5}, std::chrono::milliseconds{500}, std::chrono::seconds{30}};
    Duration readInterval = std::chrono::milliseconds{100}; ///< minimum delay between two calls for the same key
};

/// How an item compares with the revision of its key that the reader already has.
enum class ItemStatus : std::uint8_t {
    Newer, ///< a later revision with a valid value
    Unchanged, ///< the same revision
    Stale, ///< an earlier revision; never applied
    Refused, ///< a later revision that is a removal or an invalid value; the last valid value stays in force
};

/// An item of the store after parsing.
struct ParsedItem {
    ItemStatus status = ItemStatus::Unchanged;
    std::uint64_t revision = 0;
    std::optional<PlatformUpdate> update; ///< set only if the status is Newer
    std::string detail; ///< the errors of a stale or refused item, else empty
};

/// Parses an item of a watched key. Never throws.
ParsedItem parseItem(const StoreItem &item, std::uint64_t knownRevision);

/// The item of exactly this key with the highest revision; nullptr if there is none. A watch also returns items of longer keys that start
/// with this key.
const StoreItem *lastItemWithKey(const StoreResponse &response, std::string_view key);

/// Creates a source that reads and watches the keys in the store.
std::unique_ptr<PlatformSource> makeStoreSource(boost::asio::io_context &context, const StoreSourceOptions &options, PlatformSink sink);

} // namespace medlarway
