#include "steering/flow_token.h"

#include <algorithm>

namespace medlarway
{

// Derived from the id alone, so that all hosts compute the same tokens without coordination.
std::array<FlowToken, kTokensPerUpstream> tokensOf(std::string_view id)
{
    const auto hash = hashBytes(id);
    const auto nonZero = [](std::uint64_t bits) { return std::max(static_cast<FlowToken>(bits), FlowToken{1}); };
    return {nonZero(hash), nonZero(hash >> 32U)};
}

// Several upstreams may respond to copies of one SYN. Those that do not get the flow repeat their SYN-ACK for seconds, and the client sends
// back the last token that it received. Such a token must not lead packets of the open flow astray on a host that does not know the flow:
// once the client has sent its first data, the token no longer decodes.
FlowToken openingToken(FlowToken token, std::uint32_t firstSequence)
{
    constexpr std::uint64_t kOpening = 0x6f70656e; // separates these masks from other hashes of a sequence number
    return token ^ static_cast<FlowToken>(combineHash(kOpening, firstSequence));
}

} // namespace medlarway
