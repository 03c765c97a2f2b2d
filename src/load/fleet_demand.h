#pragma once

#include "base/host.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// What the callers of a host ask of a service.
struct ServiceDemand {
    std::string service;
    double requests = 0; ///< mean number of concurrent requests, including those that wait or were reset for want of room
    bool nearLimit = false; ///< the host uses more than half of its share of the service's upstreams

    friend bool operator==(const ServiceDemand &, const ServiceDemand &) = default;
};

/// What the callers of an availability zone ask of a service, as told by hosts of the zone.
struct ZoneDemand {
    std::string service;
    AvailabilityZone zone;
    double requests = 0; ///< sum over the hosts that told
    std::uint32_t hosts = 0; ///< number of hosts that told
    Time toldAt; ///< when the oldest part of the sum was measured

    friend bool operator==(const ZoneDemand &, const ZoneDemand &) = default;
};

/// How long a host believes what others told of the demand.
inline constexpr Duration kDemandLifetime = std::chrono::seconds{2};

} // namespace medlarway
