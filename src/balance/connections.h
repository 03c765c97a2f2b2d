#pragma once

#include "balance/upstream_table.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// Picks the upstream for a long-lived connection by rendezvous over the list; those that this host may
/// not use (draining, ejected, at this host's share of their connections) are passed over.
std::optional<std::size_t> rendezvousUpstream(const UpstreamTable &table, std::uint64_t hint, std::uint32_t shareOfConnections, Time now);

/// This host's share of an upstream's connections: the shares of all hosts in view stay under the limit.
std::uint32_t connectionShare(std::uint32_t limit, std::size_t hosts);

} // namespace medlarway
