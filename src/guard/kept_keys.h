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

/// Which ask has a key.
struct KeyHolder {
    HostId asker;
    std::uint64_t ask = 0;
    Time until; ///< the key is kept so long
    bool recalled = false; ///< told by another guard: neither granted again nor released, since a further ask may have had the key

    friend bool operator==(const KeyHolder &, const KeyHolder &) = default;
};

/// The keys that one guard keeps, each until its time.
class KeptKeys
{
public:
    using Map = std::unordered_map<GuardKey, KeyHolder, GuardKeyHash>;

    /// Who has the key; nullptr where nobody has.
    const KeyHolder *find(const GuardKey &key, Time now) const;

    /// Keeps the key. A longer time of the same ask counts; another ask's is replaced.
    void keep(const GuardKey &key, const KeyHolder &holder);

    /// Frees the key, where this ask has it.
    void release(const GuardKey &key, HostId asker, std::uint64_t ask);

    /// Forgets keys whose time is over, at most count of them.
    void expire(Time now, std::size_t count);

    std::size_t size() const
    {
        return keys_.size();
    }

    const Map &all() const
    {
        return keys_;
    }

private:
    Map keys_;
    std::multimap<Time, GuardKey> expiries_; ///< may name keys that are gone or kept longer
};

} // namespace medlarway
