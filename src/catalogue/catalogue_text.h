#pragma once

#include "catalogue/service.h"
#include "yaml/fault.h"

#include <string_view>
#include <vector>

namespace medlarway
{

/// Maximum number of services in one shard, and of upstreams in all of them together.
inline constexpr std::size_t kMaxServices = 10'000;
inline constexpr std::size_t kMaxUpstreams = 50'000;

/// Parses and validates the YAML text of one shard or of a whole catalogue file. Returns the services or all errors.
/// Never throws.
Parsed<std::vector<Service>> parseCatalogue(std::string_view text);

} // namespace medlarway
