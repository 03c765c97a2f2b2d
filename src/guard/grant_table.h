#pragma once

#include "base/hash.h"
#include "base/host.h"
#include "base/time.h"
#include "guard/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>

namespace medlarway
{

/// Hashes a key for the standard containers.
struct GuardKeyHash {
    std::size_t operator()(const GuardKey &key) const noexcept
    {
        return combineHash(key.service, combineHash(key.keyHigh, key.keyLow));
    }
};

/// The claim that a guard has reserved a key for.
struct Grant {
    HostId claimant;
    std::uint64_t claim = 0;
    Time expiresAt;
    bool recovered = false; ///< copied from another guard: never confirmed or released, since a later claim may hold the key

    friend bool operator==(const Grant &, const Grant &) = default;
};

/// The grants of one guard, each until it expires. A key has at most one.
class GrantTable
{
public:
    using Map = std::unordered_map<GuardKey, Grant, GuardKeyHash>;

    /// The grant for the key; nullptr if there is none or it has expired.
    const Grant *find(const GuardKey &key, Time now) const;

    /// Stores a grant and replaces one of another claim. One of the same claim is extended but never shortened.
    void put(const GuardKey &key, const Grant &grant);

    /// Removes the grant for the key if this claim holds it.
    void release(const GuardKey &key, HostId claimant, std::uint64_t claim);

    /// Removes expired grants; handles at most count expiry entries.
    void expire(Time now, std::size_t count);

    std::size_t size() const
    {
        return grants_.size();
    }

    const Map &all() const
    {
        return grants_;
    }

private:
    Map grants_;
    std::multimap<Time, GuardKey> expiries_; ///< may have entries of grants that were released or extended
};

} // namespace medlarway
