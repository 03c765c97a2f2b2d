#include "catalogue/catalogue_store.h"

#include "catalogue/catalogue_check.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

Catalogue catalogueOf(const std::map<std::string, CatalogueShard> &shards)
{
    Catalogue catalogue;
    for (const auto &[name, shard] : shards) {
        catalogue.shards.push_back(shard);
    }
    return catalogue;
}

} // namespace

CatalogueStore::CatalogueStore()
    : inForce_(std::make_shared<const Catalogue>())
{
}

Offer CatalogueStore::offer(CatalogueShard shard)
{
    // Step 1. Ignore revisions that are not higher than the latest one, whatever their source.
    const auto known = latest_.find(shard.name);
    if (known != latest_.end() && shard.revision <= known->second.revision) {
        return {shard.revision == known->second.revision ? OfferResult::Unchanged : OfferResult::Stale, {}};
    }
    // Step 2. Store it and update the catalogue; this may also bring pending versions of other shards into force.
    const auto name = shard.name;
    latest_.insert_or_assign(name, std::move(shard));
    updateInForce();
    const auto refused = pending_.find(name);
    if (refused != pending_.end()) {
        return {OfferResult::Refused, refused->second};
    }
    return {OfferResult::Accepted, {}};
}

bool CatalogueStore::retainOnly(const std::vector<std::string> &names)
{
    const auto isUnlisted = [&names](const auto &entry) { return std::find(names.begin(), names.end(), entry.first) == names.end(); };
    const auto removed = std::erase_if(latest_, isUnlisted) + std::erase_if(accepted_, isUnlisted);
    if (removed > 0) {
        updateInForce();
    }
    return removed > 0;
}

std::optional<std::uint64_t> CatalogueStore::latestRevision(const std::string &shard) const
{
    const auto found = latest_.find(shard);
    return found == latest_.end() ? std::nullopt : std::optional(found->second.revision);
}

// Hosts receive versions in different orders. If the latest versions don't conflict with each other, the catalogue in
// force must therefore depend on them alone.
void CatalogueStore::updateInForce()
{
    pending_.clear();
    // Step 1. Accept all latest versions if they are valid together.
    if (checkCatalogue(catalogueOf(latest_)).empty()) {
        accepted_ = latest_;
    } else {
        // Step 2. Else try them one by one, sorted by name, each with the last accepted versions of the other shards.
        for (const auto &[name, shard] : latest_) {
            auto candidate = accepted_;
            candidate.insert_or_assign(name, shard);
            auto faults = checkCatalogue(catalogueOf(candidate));
            if (faults.empty()) {
                accepted_ = std::move(candidate);
            } else {
                pending_.emplace(name, std::move(faults));
            }
        }
    }
    auto next = catalogueOf(accepted_);
    if (next != *inForce_) {
        inForce_ = std::make_shared<const Catalogue>(std::move(next));
    }
}

} // namespace medlarway
