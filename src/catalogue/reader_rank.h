#pragma once

#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// True where the host is among the readers of the shard: the first readersPerZone hosts of its own zone,
/// by rendezvous rank. Hosts that are suspect or leave are passed over while another is there.
bool isReader(const std::vector<Member> &members, HostId host, std::uint64_t shardHash, std::uint32_t readersPerZone);

} // namespace medlarway
