#pragma once

#include "steering/directory.h"
#include "steering/evacuations.h"
#include "steering/route_table.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// An item of the store, as contained in a response.
struct StoreItem {
    std::string key;
    std::string value; ///< decoded from base64; empty if the item is deleted or the base64 is invalid
    std::uint64_t revision = 0;
    bool deleted = false;

    friend bool operator==(const StoreItem &, const StoreItem &) = default;
};

/// A response of the store: a page of items, or changed items.
struct StoreResponse {
    std::vector<StoreItem> items;
    bool hasMore = false; ///< further pages follow
    std::uint64_t asOf = 0; ///< store revision that the response reflects; a watch from it returns all later changes

    friend bool operator==(const StoreResponse &, const StoreResponse &) = default;
};

/// Decodes the response body of a range read or a watch; nullopt if it is invalid. Never throws.
std::optional<StoreResponse> decodeStoreResponse(std::string_view body);

/// Decodes the response body of a read of one item into a response with that item; nullopt if it is invalid. Never throws.
std::optional<StoreResponse> decodeStoreItem(std::string_view body);

/// Decodes an upstream's entry; nullopt if a field is missing or invalid, in which case the upstream must not be used. Never throws.
std::optional<UpstreamEntry> decodeUpstream(std::string_view id, std::string_view value, const Revision &revision);

/// The first field that is missing or invalid in an upstream's entry, "id" if its id has no valid number; empty if the entry is valid.
/// An entry that can't be read, or is longer or more deeply nested than any upstream's, has no fields. Never throws.
std::string_view invalidUpstreamField(std::string_view id, std::string_view value);

/// Decodes the operator's configuration; nullopt if it is invalid. Never throws.
std::optional<RouteConfig> decodeConfig(std::string_view value);

/// Decodes the evacuation of a zone: any JSON object declares it, and any other value ends it. Also ended if the name is no zone's.
/// Never throws.
ZoneEvacuation decodeEvacuation(std::string_view zone, std::string_view value, const Revision &revision);

/// The number that identifies an upstream in packets: the hexadecimal digits after the last dash of its id. nullopt if they are missing,
/// invalid, zero or exceed 64 bits.
std::optional<std::uint64_t> upstreamNumber(std::string_view id);

} // namespace medlarway
