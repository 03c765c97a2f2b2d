#pragma once

#include "steering/directory.h"
#include "steering/route_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// One item of the store as an answer holds it.
struct StoreItem {
    std::string key;
    std::string value; ///< decoded bytes
    std::uint64_t revision = 0;
    bool deleted = false;

    friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// An answer of the store: a page of items, or what changed.
struct StoreAnswer {
    std::vector<StoreItem> items;
    bool hasMore = false;
    std::uint64_t asOf = 0; ///< the store's revision; reading goes on from it

    friend bool operator==(const StoreAnswer &, const StoreAnswer &) = default;
};

/// Decodes the body of a range or of a watch; nullopt where it can't be read. Never throws.
std::optional<StoreAnswer> decodeStoreAnswer(std::string_view body);

/// Decodes the body of a read of one item, as an answer that holds just this; nullopt where it can't be read. Never throws.
std::optional<StoreAnswer> decodeStoreItem(std::string_view body);

/// Decodes the entry of an upstream; nullopt where a field is missing or of another type: it then names no
/// upstream to use. Never throws.
std::optional<UpstreamEntry> decodeUpstream(std::string_view id, std::string_view value, std::uint64_t revision);

/// Decodes the operator's configuration; nullopt where it can't be read. Never throws.
std::optional<RouteConfig> decodeConfig(std::string_view value);

/// The number that packets carry for an upstream's id: its hexadecimal digits; nullopt where it has none or too many.
std::optional<std::uint64_t> upstreamNumber(std::string_view id);

} // namespace medlarway
