#pragma once

#include "steering/flow_token.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Index of an upstream in the directory; valid until it removes the upstream.
using UpstreamIndex = std::uint32_t;
inline constexpr UpstreamIndex kNoUpstream = 0xffffffff;

/// The ids that may own a token. Tokens are hashes of ids, so that two ids may have the same one: such a token identifies neither. Not
/// thread-safe.
class TokenIndex
{
public:
    /// Adds an id, or changes the upstream that it belongs to; kNoUpstream for one that is known by its id only. Returns the upstreams
    /// whose uniqueTokenOf() may have changed.
    std::vector<UpstreamIndex> add(std::string_view id, UpstreamIndex upstream);

    /// Removes an id. Returns as add().
    std::vector<UpstreamIndex> erase(std::string_view id);

    /// The upstream that alone has the token among its tokens; kNoUpstream if none or several ids have it.
    UpstreamIndex find(FlowToken token) const;

    /// Whether several ids have the token.
    bool isShared(FlowToken token) const;

    /// The first token of the id that no other id has; 0 if there is none.
    FlowToken uniqueTokenOf(std::string_view id) const;

    /// Whether another id has one of the id's tokens.
    bool sharesTokens(std::string_view id) const;

    /// Number of tokens that several ids have.
    std::size_t sharedCount() const
    {
        return shared_;
    }

private:
    struct Owner {
        std::string id;
        UpstreamIndex upstream = kNoUpstream;
    };

    std::vector<UpstreamIndex> ownersOfTokens(std::string_view id) const;

    boost::unordered_flat_map<FlowToken, std::vector<Owner>> owners_;
    std::size_t shared_ = 0; ///< see sharedCount()
};

} // namespace medlarway
