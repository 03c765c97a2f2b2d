#pragma once

#include "catalogue/service.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// Hash of all fields of the service; the same on every host.
std::uint64_t serviceHash(const Service &service);

/// Hash of the services of a shard, independent of their order.
std::uint64_t contentHash(const std::vector<Service> &services, bool removed);

} // namespace medlarway
