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

/// A shard stored on a host, with its change history. Services are sorted by name.
struct StoredShard {
    CatalogueShard shard;
    std::uint64_t content = 0; ///< content hash; see contentHash
    bool removed = false; ///< tombstone: the platform removed the shard at this revision
    std::map<std::string, std::uint64_t> changedAt; ///< by service name: the revision of its last change
    std::map<std::string, std::uint64_t> removedAt; ///< by service name: the revision that removed it
    std::uint64_t minDeltaBase = 0; ///< lowest revision that a delta can be based on
};

/// Result of merging a revision into the store.
enum class MergeResult : std::uint8_t {
    Applied,
    Unchanged, ///< already stored
    Stale, ///< a higher revision is stored
    ConflictKept, ///< same revision with another content; the stored content is kept
    BaseMissing, ///< the base revision of the delta is higher than the stored one
    ContentMismatch, ///< the result does not match the content hash of the change
};

/// The change of a shard between two revisions. Points into the store; valid until it changes.
struct ShardChange {
    const StoredShard *stored = nullptr;
    std::uint64_t base = 0; ///< 0 if the change is the whole shard
    std::vector<const Service *> services;
    std::vector<std::string> removedServices;
};

/// The shards stored on one host. Revisions never decrease; of two contents with the same revision every host keeps
/// the one with the higher hash.
class ShardStore
{
public:
    /// Merges a whole shard, read from the platform or received from a peer.
    MergeResult offer(CatalogueShard shard, bool removed);

    /// Merges a change whose base is the stored revision or a lower one; base 0 means a whole shard.
    MergeResult applyChange(const ShardPart &change);

    /// The change since the base; the whole shard if the history does not reach back to the base. The stored pointer is
    /// null if there is no such shard.
    ShardChange changeSince(std::uint64_t shardHash, std::uint64_t base) const;

    /// The shard; nullptr if none is stored.
    const StoredShard *find(std::uint64_t shardHash) const;

    /// All shards, including tombstones, by name hash.
    const std::map<std::uint64_t, StoredShard> &shards() const
    {
        return shards_;
    }

    /// Hash over the names, revisions and contents of all shards.
    std::uint64_t root() const
    {
        return root_;
    }

    /// The shards that are not removed, sorted by name.
    std::shared_ptr<const Catalogue> inForce() const;

private:
    void replace(StoredShard &stored, CatalogueShard shard, bool removed, std::uint64_t content);

    std::map<std::uint64_t, StoredShard> shards_;
    std::uint64_t root_ = 0;
    mutable std::shared_ptr<const Catalogue> inForce_;
};

/// The digest of a stored shard.
ShardDigest digestOf(std::uint64_t shardHash, const StoredShard &stored);

} // namespace medlarway
