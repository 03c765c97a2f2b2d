#pragma once

#include "base/endpoint.h"

#include <compare>
#include <cstdint>

namespace medlarway
{

/// Identifies a datagram flow by the addresses of its caller and of its service.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    friend auto operator<=>(const FlowKey &, const FlowKey &) = default; // NOLINT(modernize-use-nullptr): false positive on <=>
};

/// Hash of the flow key, the same on every host. Determines the owner of the flow and is the hint for its upstream.
std::uint64_t flowHash(const FlowKey &key);

} // namespace medlarway
