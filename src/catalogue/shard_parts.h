#pragma once

#include "catalogue/shard_store.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace medlarway
{

/// Estimated encoded size of a service with its upstreams, in bytes.
std::size_t estimateBytes(const Service &service);

/// Number of parts that a change is sent in; at least 1.
std::uint32_t countParts(const ShardChange &change);

/// Creates one part of a change; an index past the end gives the last part. A service with many upstreams is split
/// over several parts.
ShardPart makePart(const ShardChange &change, std::uint32_t index);

/// Estimated encoded size of a whole change in bytes.
std::size_t estimateBytes(const ShardChange &change);

/// Appends the services of the next part. If a piece belongs to the last service, appends its upstreams to that.
void appendPieces(std::vector<Service> &services, std::vector<Service> pieces);

} // namespace medlarway
