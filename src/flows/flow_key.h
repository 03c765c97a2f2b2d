#pragma once

#include "base/endpoint.h"

#include <compare>
#include <cstdint>

namespace medlarway
{

/// Names a datagram flow: who sends, and to which service address.
struct FlowKey {
    Endpoint caller;
    Endpoint service;

    friend auto operator<=>(const FlowKey &, const FlowKey &) = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// A hash of the flow, the same on every host. Places the flow and is the hint for its upstream.
std::uint64_t flowHash(const FlowKey &key);

} // namespace medlarway
