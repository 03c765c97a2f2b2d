#pragma once

#include "platform/source.h"
#include "yaml/fault.h"

#include <string>
#include <string_view>

namespace medlarway
{

/// Maximum size of a value of the platform.
inline constexpr std::size_t kMaxValueBytes = 1U << 20U;

/// Parses the value of a key: the index, a shard or a zone's host list. On failure the result lists every error. Never throws.
Parsed<PlatformUpdate> parsePlatformValue(const std::string &key, std::uint64_t revision, std::string_view value);

} // namespace medlarway
