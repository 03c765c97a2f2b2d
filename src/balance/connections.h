#pragma once

#include "balance/upstream_table.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// Picks the upstream for a long-lived connection by rendezvous hashing of the hint. Skips upstreams that are
/// draining, ejected, or already have `shareOfConnections` connections of this host; ejected ones are used if
/// no other is left. Returns nullopt if there is none.
std::optional<std::size_t> rendezvousUpstream(const UpstreamTable &table, std::uint64_t hint, std::uint32_t shareOfConnections, Time now);

/// This host's share of an upstream's connection limit, divided equally among the hosts in view but at least 1.
/// A limit of 0 allows no connections.
std::uint32_t connectionShare(std::uint32_t limit, std::size_t hosts);

} // namespace medlarway
