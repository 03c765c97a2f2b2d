#pragma once

#include "catalogue/service.h"
#include "yaml/fault.h"

#include <vector>

namespace medlarway
{

/// A service with its position in the source text.
struct ParsedService {
    Service service;
    Position position;
    std::vector<Position> upstreamPositions; ///< one per upstream; empty if not known
};

/// Returns all errors in a set of services that are to be in force together: invalid limits, duplicate names, addresses
/// or upstreams, two owners of one address, an upstream that is the address of a service.
Faults checkServices(const std::vector<ParsedService> &services);

/// Runs checkServices on all shards of a catalogue. The errors name the service and have no position.
Faults checkCatalogue(const Catalogue &catalogue);

} // namespace medlarway
