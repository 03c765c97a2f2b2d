#pragma once

#include "base/host.h"

#include <cstdint>
#include <vector>

namespace medlarway
{

/// A host that may be a member, as the platform or the settings list it. Such lists lag.
struct ListedHost {
    Endpoint address; ///< its peers' port
    AvailabilityZone zone;
    bool leaving = false;

    friend bool operator==(const ListedHost &, const ListedHost &) = default;
};

/// The hosts of one availability zone, as one revision of the platform's key says.
struct HostList {
    AvailabilityZone zone;
    std::uint64_t revision = 0;
    std::vector<ListedHost> hosts;

    friend bool operator==(const HostList &, const HostList &) = default;
};

} // namespace medlarway
