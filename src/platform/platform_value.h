#pragma once

#include "platform/source.h"
#include "yaml/fault.h"

#include <string>
#include <string_view>

namespace medlarway
{

/// The most bytes that one value of the platform may have.
inline constexpr std::size_t kLongestValueBytes = 1U << 20U;

/// Reads the value of a key: the index, a shard or a zone's host list. Every fault is listed. Never throws.
Parsed<PlatformUpdate> parsePlatformValue(const std::string &key, std::uint64_t revision, std::string_view value);

} // namespace medlarway
