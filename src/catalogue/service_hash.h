#pragma once

#include "catalogue/service.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// A hash of everything in the service; the same on every host.
std::uint64_t serviceHash(const Service &service);

/// A hash of a shard's services, whatever their order.
std::uint64_t contentHash(const std::vector<Service> &services, bool removed);

} // namespace medlarway
