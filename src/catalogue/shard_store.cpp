#include "catalogue/shard_store.h"

#include "base/hash.h"
#include "catalogue/service_hash.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

// Removals are remembered only this far back; a peer that is further behind gets the whole shard.
constexpr std::size_t kMostRemovals = 128;

// Above this the names of removed services would crowd a message; the whole shard is sent instead.
constexpr std::size_t kMostRemovalBytes = 4096;

bool byName(const Service &first, const Service &second)
{
    return first.name < second.name;
}

std::uint64_t rootTerm(std::uint64_t shardHash, const HeldShard &held)
{
    return held.shard.revision == 0 ? 0 : combineHash(shardHash, combineHash(held.shard.revision, held.content));
}

// Says whether a revision with its content goes before what is held.
OfferResult compare(const HeldShard &held, std::uint64_t revision, std::uint64_t content)
{
    if (revision < held.shard.revision) {
        return OfferResult::Stale;
    }
    if (revision > held.shard.revision) {
        return OfferResult::Applied;
    }
    if (content == held.content) {
        return OfferResult::Same;
    }
    return content > held.content ? OfferResult::Applied : OfferResult::ConflictKept;
}

// Notes at which revision each service changed or went. Both lists are in the order of names.
void noteChanges(HeldShard &held, const std::vector<Service> &before, const std::vector<Service> &after, std::uint64_t revision)
{
    auto old = before.begin();
    for (const auto &service : after) {
        while (old != before.end() && old->name < service.name) {
            held.changedAt.erase(old->name);
            held.removedAt[old->name] = revision;
            ++old;
        }
        const bool known = old != before.end() && old->name == service.name;
        if (!known || !(*old == service)) {
            held.changedAt[service.name] = revision;
            held.removedAt.erase(service.name);
        }
        if (known) {
            ++old;
        }
    }
    for (; old != before.end(); ++old) {
        held.changedAt.erase(old->name);
        held.removedAt[old->name] = revision;
    }
}

} // namespace

OfferResult ShardStore::offer(CatalogueShard shard, bool removed)
{
    // Services are compared and merged in the order of names; a name that stands twice keeps its first.
    std::stable_sort(shard.services.begin(), shard.services.end(), byName);
    const auto sameName = [](const Service &first, const Service &second) { return first.name == second.name; };
    shard.services.erase(std::unique(shard.services.begin(), shard.services.end(), sameName), shard.services.end());
    if (shard.revision == 0) {
        return OfferResult::Stale;
    }
    const auto content = contentHash(shard.services, removed);
    auto &held = shards_[hashBytes(shard.name)];
    const auto result = compare(held, shard.revision, content);
    if (result == OfferResult::Applied) {
        replace(held, std::move(shard), removed, content);
    }
    return result;
}

// A change that holds everything since an older base also fits a later one. Lines of
// change may differ, so the content's hash decides whether the result is the right one.
OfferResult ShardStore::applyChange(const ShardPart &change)
{
    if (change.base == 0) {
        CatalogueShard whole{change.name, change.revision, change.services};
        if (contentHash(whole.services, change.removed) != change.content) {
            return OfferResult::Mismatch;
        }
        return offer(std::move(whole), change.removed);
    }
    const auto found = shards_.find(hashBytes(change.name));
    if (found == shards_.end() || found->second.shard.revision < change.base) {
        return OfferResult::BaseMissing;
    }
    const auto compared = compare(found->second, change.revision, change.content);
    if (compared != OfferResult::Applied) {
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
        return OfferResult::Mismatch;
    }
    replace(found->second, std::move(next), change.removed, content);
    return OfferResult::Applied;
}

void ShardStore::replace(HeldShard &held, CatalogueShard shard, bool removed, std::uint64_t content)
{
    const auto shardHash = hashBytes(shard.name);
    root_ -= rootTerm(shardHash, held);
    if (held.shard.revision == shard.revision) {
        // Another content under the same revision: no earlier base is good for a delta.
        held.changedAt.clear();
        held.removedAt.clear();
        held.deltaFloor = shard.revision;
    } else if (held.shard.revision == 0) {
        held.deltaFloor = shard.revision;
    } else {
        noteChanges(held, held.shard.services, shard.services, shard.revision);
    }
    if (held.removedAt.size() > kMostRemovals) {
        held.removedAt.clear();
        held.deltaFloor = shard.revision;
    }
    held.shard = std::move(shard);
    held.removed = removed;
    held.content = content;
    root_ += rootTerm(shardHash, held);
    inForce_.reset();
}

ShardChange ShardStore::changeSince(std::uint64_t shardHash, std::uint64_t base) const
{
    ShardChange change;
    change.held = find(shardHash);
    if (change.held == nullptr) {
        return change;
    }
    const auto &held = *change.held;
    std::size_t removalBytes = 0;
    for (const auto &[name, revision] : held.removedAt) {
        if (revision > base) {
            change.removedServices.push_back(name);
            removalBytes += name.size();
        }
    }
    const bool whole = base < held.deltaFloor || removalBytes > kMostRemovalBytes;
    change.base = whole ? 0 : base;
    if (whole) {
        change.removedServices.clear();
    }
    for (const auto &service : held.shard.services) {
        const auto changed = held.changedAt.find(service.name);
        if (whole || (changed != held.changedAt.end() && changed->second > base)) {
            change.services.push_back(&service);
        }
    }
    return change;
}

const HeldShard *ShardStore::find(std::uint64_t shardHash) const
{
    const auto found = shards_.find(shardHash);
    return found == shards_.end() ? nullptr : &found->second;
}

std::shared_ptr<const Catalogue> ShardStore::inForce() const
{
    if (!inForce_) {
        auto catalogue = std::make_shared<Catalogue>();
        for (const auto &[shardHash, held] : shards_) {
            if (!held.removed && held.shard.revision > 0) {
                catalogue->shards.push_back(held.shard);
            }
        }
        std::sort(catalogue->shards.begin(), catalogue->shards.end(),
                  [](const CatalogueShard &first, const CatalogueShard &second) { return first.name < second.name; });
        inForce_ = std::move(catalogue);
    }
    return inForce_;
}

ShardDigest digestOf(std::uint64_t shardHash, const HeldShard &held)
{
    return ShardDigest{shardHash, held.shard.revision, static_cast<std::uint32_t>(held.content >> 32U)};
}

} // namespace medlarway
