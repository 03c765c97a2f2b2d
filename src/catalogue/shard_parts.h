#pragma once

#include "catalogue/shard_store.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarway
{

/// About how many bytes the service takes in a message, its upstreams included.
std::size_t estimateBytes(const Service &service);

/// How many parts a change is sent in; at least one.
std::uint32_t countParts(const ShardChange &change);

/// Makes one part of a change. A service with many upstreams is split over several parts.
ShardPart makePart(const ShardChange &change, std::uint32_t index);

/// About how many bytes a change takes in all.
std::size_t estimateBytes(const ShardChange &change);

/// Appends the services of the next part; a piece of the last service adds its upstreams to it.
void appendPieces(std::vector<Service> &services, std::vector<Service> pieces);

} // namespace medlarway
