#include "steering/token_index.h"

#include <algorithm>

namespace medlarway
{

// Both tokens of an id may be the same, in which case it is entered once.
std::vector<UpstreamIndex> TokenIndex::add(std::string_view id, UpstreamIndex upstream)
{
    for (const auto token : tokensOf(id)) {
        auto &owners = owners_[token];
        const auto known = std::find_if(owners.begin(), owners.end(), [id](const Owner &owner) { return owner.id == id; });
        if (known != owners.end()) {
            known->upstream = upstream;
            continue;
        }
        owners.push_back({std::string(id), upstream});
        shared_ += owners.size() == 2 ? 1 : 0;
    }
    return ownersOfTokens(id);
}

std::vector<UpstreamIndex> TokenIndex::erase(std::string_view id)
{
    for (const auto token : tokensOf(id)) {
        const auto found = owners_.find(token);
        if (found == owners_.end()) {
            continue;
        }
        auto &owners = found->second;
        const auto removed = std::erase_if(owners, [id](const Owner &owner) { return owner.id == id; });
        shared_ -= removed > 0 && owners.size() == 1 ? 1 : 0;
        if (owners.empty()) {
            owners_.erase(found);
        }
    }
    return ownersOfTokens(id);
}

// The upstreams that have a token of the id, which may itself be unknown.
std::vector<UpstreamIndex> TokenIndex::ownersOfTokens(std::string_view id) const
{
    std::vector<UpstreamIndex> upstreams;
    for (const auto token : tokensOf(id)) {
        const auto found = owners_.find(token);
        if (found == owners_.end()) {
            continue;
        }
        for (const auto &owner : found->second) {
            if (owner.upstream != kNoUpstream) {
                upstreams.push_back(owner.upstream);
            }
        }
    }
    return upstreams;
}

UpstreamIndex TokenIndex::find(FlowToken token) const
{
    const auto found = owners_.find(token);
    return found == owners_.end() || found->second.size() > 1 ? kNoUpstream : found->second.front().upstream;
}

bool TokenIndex::isShared(FlowToken token) const
{
    const auto found = owners_.find(token);
    return found != owners_.end() && found->second.size() > 1;
}

FlowToken TokenIndex::uniqueTokenOf(std::string_view id) const
{
    const auto tokens = tokensOf(id);
    const auto *unique = std::find_if(tokens.begin(), tokens.end(), [this](FlowToken token) { return !isShared(token); });
    return unique == tokens.end() ? 0 : *unique;
}

bool TokenIndex::sharesTokens(std::string_view id) const
{
    const auto tokens = tokensOf(id);
    return std::any_of(tokens.begin(), tokens.end(), [this](FlowToken token) { return isShared(token); });
}

} // namespace medlarway
