#include "guard/grant_table.h"

namespace medlarway
{

const Grant *GrantTable::find(const GuardKey &key, Time now) const
{
    const auto found = grants_.find(key);
    return found == grants_.end() || found->second.expiresAt <= now ? nullptr : &found->second;
}

void GrantTable::put(const GuardKey &key, const Grant &grant)
{
    auto &stored = grants_[key];
    if (stored.claimant == grant.claimant && stored.claim == grant.claim && stored.expiresAt >= grant.expiresAt) {
        return;
    }
    stored = grant;
    expiries_.emplace(grant.expiresAt, key);
}

void GrantTable::release(const GuardKey &key, HostId claimant, std::uint64_t claim)
{
    const auto found = grants_.find(key);
    if (found != grants_.end() && !found->second.recovered && found->second.claimant == claimant && found->second.claim == claim) {
        grants_.erase(found);
    }
}

void GrantTable::expire(Time now, std::size_t count)
{
    for (; count > 0 && !expiries_.empty() && expiries_.begin()->first <= now; --count) {
        const auto found = grants_.find(expiries_.begin()->second);
        if (found != grants_.end() && found->second.expiresAt <= now) {
            grants_.erase(found);
        }
        expiries_.erase(expiries_.begin());
    }
}

} // namespace medlarway
