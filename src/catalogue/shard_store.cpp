#include "catalogue/shard_store.h"

#include "base/hash.h"
#include "catalogue/service_hash.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// Maximum number of removed services tracked per shard; above it the history is cleared, and older bases get the whole shard.
constexpr std::size_t kMaxTrackedRemovals = 128;

// Maximum size of the names of removed services in a delta; above it the whole shard is sent instead.
constexpr std::size_t kMaxRemovalBytes = 4096;

bool byName(const Service &first, const Service &second)
{
    return first.name < second.name;
}

std::uint64_t rootTerm(std::uint64_t shardHash, const StoredShard &stored)
{
    return stored.shard.revision == 0 ? 0 : combineHash(shardHash, combineHash(stored.shard.revision, stored.content));
}

// Decides whether a revision and its content replace the stored ones.
MergeResult compareWithStored(const StoredShard &stored, std::uint64_t revision, std::uint64_t content)
{
    if (revision < stored.shard.revision) {
        return MergeResult::Stale;
    }
    if (revision > stored.shard.revision) {
        return MergeResult::Applied;
    }
    if (content == stored.content) {
        return MergeResult::Unchanged;
    }
    return content > stored.content ? MergeResult::Applied : MergeResult::ConflictKept;
}

// Records the revision at which each service was changed or removed. Both lists must be sorted by name.
void recordChanges(StoredShard &stored, const std::vector<Service> &before, const std::vector<Service> &after, std::uint64_t revision)
{
    auto oldService = before.begin();
    for (const auto &service : after) {
        while (oldService != before.end() && oldService->name < service.name) {
            stored.changedAt.erase(oldService->name);
            stored.removedAt[oldService->name] = revision;
            ++oldService;
        }
        const bool existed = oldService != before.end() && oldService->name == service.name;
        if (!existed || !(*oldService == service)) {
            stored.changedAt[service.name] = revision;
            stored.removedAt.erase(service.name);
        }
        if (existed) {
            ++oldService;
        }
    }
    for (; oldService != before.end(); ++oldService) {
        stored.changedAt.erase(oldService->name);
        stored.removedAt[oldService->name] = revision;
    }
}

} // namespace

MergeResult ShardStore::offer(CatalogueShard shard, bool removed)
{
    // Sort by name, which merging relies on; of services with the same name keep the first.
    std::stable_sort(shard.services.begin(), shard.services.end(), byName);
    const auto sameName = [](const Service &first, const Service &second) { return first.name == second.name; };
    shard.services.erase(std::unique(shard.services.begin(), shard.services.end(), sameName), shard.services.end());
    if (shard.revision == 0) {
        return MergeResult::Stale;
    }
    const auto content = contentHash(shard.services, removed);
    auto &stored = shards_[hashBytes(shard.name)];
    const auto result = compareWithStored(stored, shard.revision, content);
    if (result == MergeResult::Applied) {
        replace(stored, std::move(shard), removed, content);
    }
    return result;
}

// A delta since an older base also applies to a later revision. The stored revisions may have had other contents than
// those of the sender, so the content hash decides whether the result is correct.
MergeResult ShardStore::applyChange(const ShardPart &change)
{
    if (change.base == 0) {
        CatalogueShard whole{change.name, change.revision, change.services};
        if (contentHash(whole.services, change.removed) != change.content) {
            return MergeResult::ContentMismatch;
        }
        return offer(std::move(whole), change.removed);
    }
    const auto found = shards_.find(hashBytes(change.name));
    if (found == shards_.end() || found->second.shard.revision < change.base) {
        return MergeResult::BaseMissing;
    }
    const auto compared = compareWithStored(found->second, change.revision, change.content);
    if (compared != MergeResult::Applied) {
        return compared;
    }
    std::map<std::string, Service> merged;
    for (const auto &service : found->second.shard.services) {
        merged.emplace(service.name, service);
    }
    for (const auto &name : change.removedServices) {
        merged.erase(name);
    }
    for (const auto &service : change.services) {
        merged.insert_or_assign(service.name, service);
    }
    CatalogueShard next{change.name, change.revision, {}};
    for (auto &[name, service] : merged) {
        next.services.push_back(std::move(service));
    }
    const auto content = contentHash(next.services, change.removed);
    if (content != change.content) {
        return MergeResult::ContentMismatch;
    }
    replace(found->second, std::move(next), change.removed, content);
    return MergeResult::Applied;
}

void ShardStore::replace(StoredShard &stored, CatalogueShard shard, bool removed, std::uint64_t content)
{
    const auto shardHash = hashBytes(shard.name);
    root_ -= rootTerm(shardHash, stored);
    if (stored.shard.revision == shard.revision) {
        // Another content with the same revision: deltas can't be based on earlier revisions.
        stored.changedAt.clear();
        stored.removedAt.clear();
        stored.minDeltaBase = shard.revision;
    } else if (stored.shard.revision == 0) {
        stored.minDeltaBase = shard.revision;
    } else {
        recordChanges(stored, stored.shard.services, shard.services, shard.revision);
    }
    if (stored.removedAt.size() > kMaxTrackedRemovals) {
        stored.removedAt.clear();
        stored.minDeltaBase = shard.revision;
    }
    stored.shard = std::move(shard);
    stored.removed = removed;
    stored.content = content;
    root_ += rootTerm(shardHash, stored);
    inForce_.reset();
}

ShardChange ShardStore::changeSince(std::uint64_t shardHash, std::uint64_t base) const
{
    ShardChange change;
    change.stored = find(shardHash);
    if (change.stored == nullptr) {
        return change;
    }
    const auto &stored = *change.stored;
    std::size_t removalBytes = 0;
    for (const auto &[name, revision] : stored.removedAt) {
        if (revision > base) {
            change.removedServices.push_back(name);
            removalBytes += name.size();
        }
    }
    const bool whole = base < stored.minDeltaBase || removalBytes > kMaxRemovalBytes;
    change.base = whole ? 0 : base;
    if (whole) {
        change.removedServices.clear();
    }
    for (const auto &service : stored.shard.services) {
        const auto changed = stored.changedAt.find(service.name);
        if (whole || (changed != stored.changedAt.end() && changed->second > base)) {
            change.services.push_back(&service);
        }
    }
    return change;
}

const StoredShard *ShardStore::find(std::uint64_t shardHash) const
{
    const auto found = shards_.find(shardHash);
    return found == shards_.end() ? nullptr : &found->second;
}

std::shared_ptr<const Catalogue> ShardStore::inForce() const
{
    if (!inForce_) {
        auto catalogue = std::make_shared<Catalogue>();
        for (const auto &[shardHash, stored] : shards_) {
            if (!stored.removed && stored.shard.revision > 0) {
                catalogue->shards.push_back(stored.shard);
            }
        }
        std::sort(catalogue->shards.begin(), catalogue->shards.end(),
                  [](const CatalogueShard &first, const CatalogueShard &second) { return first.name < second.name; });
        inForce_ = std::move(catalogue);
    }
    return inForce_;
}

ShardDigest digestOf(std::uint64_t shardHash, const StoredShard &stored)
{
    return ShardDigest{shardHash, stored.shard.revision, static_cast<std::uint32_t>(stored.content >> 32U)};
}

} // namespace medlarway
