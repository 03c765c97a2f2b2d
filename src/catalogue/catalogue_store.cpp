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
    // Step 1. Nothing goes back, whoever offers it.
    const auto known = offered_.find(shard.name);
    if (known != offered_.end() && shard.revision <= known->second.revision) {
        return {shard.revision == known->second.revision ? OfferResult::Unchanged : OfferResult::Stale, {}};
    }
    // Step 2. The offer may also free others that waited for it.
    const auto name = shard.name;
    offered_.insert_or_assign(name, std::move(shard));
    putInForce();
    const auto refused = waiting_.find(name);
    if (refused != waiting_.end()) {
        return {OfferResult::Refused, refused->second};
    }
    return {OfferResult::Accepted, {}};
}

bool CatalogueStore::keepOnly(const std::vector<std::string> &names)
{
    const auto unnamed = [&names](const auto &entry) { return std::find(names.begin(), names.end(), entry.first) == names.end(); };
    const auto removed = std::erase_if(offered_, unnamed) + std::erase_if(good_, unnamed);
    if (removed > 0) {
        putInForce();
    }
    return removed > 0;
}

std::optional<std::uint64_t> CatalogueStore::offeredRevision(const std::string &shard) const
{
    const auto found = offered_.find(shard);
    return found == offered_.end() ? std::nullopt : std::optional(found->second.revision);
}

// Hosts hear of versions in different orders, so what is in force should follow from the latest versions
// alone wherever they agree with each other.
void CatalogueStore::putInForce()
{
    waiting_.clear();
    // Step 1. All latest versions together.
    if (checkCatalogue(catalogueOf(offered_)).empty()) {
        good_ = offered_;
    } else {
        // Step 2. Else one after the other in the order of names, each beside the last good ones of the rest.
        for (const auto &[name, shard] : offered_) {
            auto candidate = good_;
            candidate.insert_or_assign(name, shard);
            auto faults = checkCatalogue(catalogueOf(candidate));
            if (faults.empty()) {
                good_ = std::move(candidate);
            } else {
                waiting_.emplace(name, std::move(faults));
            }
        }
    }
    auto next = catalogueOf(good_);
    if (next != *inForce_) {
        inForce_ = std::make_shared<const Catalogue>(std::move(next));
    }
}

} // namespace medlarway
