#pragma once

#include "catalogue/service.h"
#include "yaml/fault.h"

#include <string_view>
#include <vector>

namespace medlarway
{

/// Most services in one shard, and most upstreams over all of them.
inline constexpr std::size_t kMostServices = 10'000;
inline constexpr std::size_t kMostUpstreams = 50'000;

/// Reads the YAML text of one shard, or of a whole catalogue file, and checks it; lists every fault
/// at once. Never throws.
Parsed<std::vector<Service>> parseCatalogue(std::string_view text);

} // namespace medlarway
