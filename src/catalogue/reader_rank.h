#pragma once

#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// True if the host is a reader of the shard: one of the first readersPerZone hosts of its zone by rendezvous rank.
/// Suspect and leaving hosts rank below all hosts that are alive.
bool isReader(const std::vector<Member> &members, HostId host, std::uint64_t shardHash, std::uint32_t readersPerZone);

} // namespace medlarway
