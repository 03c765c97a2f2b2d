#pragma once

#include "catalogue/catalogue_message.h"
#include "catalogue/service.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// One shard as a host holds it. Services are in the order of their names.
struct HeldShard {
    CatalogueShard shard;
    std::uint64_t content = 0; ///< hash of the services
    bool removed = false; ///< a tombstone: the platform removed the shard at its revision
    std::map<std::string, std::uint64_t> changedAt; ///< revision that last changed a service here
    std::map<std::string, std::uint64_t> removedAt; ///< revision that removed a service here
    std::uint64_t deltaFloor = 0; ///< the lowest base that a delta can be made against
};

/// What became of a revision that was offered.
enum class OfferResult : std::uint8_t {
    Applied,
    Same, ///< held already
    Stale, ///< a higher one is held
    ConflictKept, ///< same revision, other content; what is held stays
    BaseMissing, ///< the delta is against a revision that is not held
    Mismatch, ///< the delta did not give the content it should
};

/// A change of one shard between two revisions; points into the store.
struct ShardChange {
    const HeldShard *held = nullptr;
    std::uint64_t base = 0; ///< 0 where all services are listed
    std::vector<const Service *> services;
    std::vector<std::string> removedServices;
};

/// The shards that one host holds. Revisions only rise; of two contents with one revision
/// every host keeps the one with the higher hash.
class ShardStore
{
public:
    /// A whole shard, from the platform or put together from parts.
    OfferResult offer(CatalogueShard shard, bool removed);

    /// A change against a base that is held or older.
    OfferResult applyChange(const ShardPart &change);

    /// What changed since the base; a whole shard where that is not known.
    ShardChange changeSince(std::uint64_t shardHash, std::uint64_t base) const;

    /// The shard; nullptr where none is held.
    const HeldShard *find(std::uint64_t shardHash) const;

    /// All shards, tombstones included, by the hash of their names.
    const std::map<std::uint64_t, HeldShard> &shards() const
    {
        return shards_;
    }

    /// A hash over all names, revisions and contents.
    std::uint64_t root() const
    {
        return root_;
    }

    /// The shards in force, in the order of their names.
    std::shared_ptr<const Catalogue> inForce() const;

private:
    void replace(HeldShard &held, CatalogueShard shard, bool removed, std::uint64_t content);

    std::map<std::uint64_t, HeldShard> shards_;
    std::uint64_t root_ = 0;
    mutable std::shared_ptr<const Catalogue> inForce_;
};

/// The digest of a held shard.
ShardDigest digestOf(std::uint64_t shardHash, const HeldShard &held);

} // namespace medlarway
