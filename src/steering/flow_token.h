#pragma once

#include "steering/flow_packet.h"

#include <array>
#include <cstddef>
#include <string_view>

namespace medlarway
{

/// Number of tokens of an upstream.
inline constexpr std::size_t kTokensPerUpstream = 2;

/// The tokens of an upstream in packets of open flows, the same on every host. The first one is used unless another upstream has it, too.
std::array<FlowToken, kTokensPerUpstream> tokensOf(std::string_view id);

/// The first token of an upstream.
inline FlowToken tokenOf(std::string_view id)
{
    return tokensOf(id).front();
}

/// The token of an upstream in a SYN, which its SYN-ACK carries back. It can be decoded only with the sequence number of the flow's first
/// packet after the SYN. Its own inverse: returns the upstream's token if given this one.
FlowToken openingToken(FlowToken token, std::uint32_t firstSequence);

} // namespace medlarway
