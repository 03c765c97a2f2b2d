#pragma once

#include "catalogue/service.h"
#include "yaml/fault.h"

#include <vector>

namespace medlarway
{

/// A service and where it stands in the text that it was read from.
struct PlacedService {
    Service service;
    Position position;
    std::vector<Position> upstreamPositions; ///< one for each upstream, or none at all
};

/// Everything that is wrong with services that would be in force together: impossible limits, duplicate
/// names, addresses or upstreams, two owners for one address, an upstream that is a service's own address.
Faults checkServices(const std::vector<PlacedService> &services);

/// The same check over all shards of a catalogue. A fault names its service; it has no position.
Faults checkCatalogue(const Catalogue &catalogue);

} // namespace medlarway
