#pragma once

#include "catalogue/service.h"
#include "yaml/fault.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// What became of an offered version of a shard.
enum class OfferResult : std::uint8_t {
    Accepted, ///< in force
    Unchanged, ///< this revision was offered before
    Stale, ///< older than one that was offered before
    Refused, ///< contradicts the other shards; the last good version stays in force
};

/// An answer to an offer; faults only where it was refused.
struct Offer {
    OfferResult result = OfferResult::Unchanged;
    Faults faults;
};

/// Puts shards together to the catalogue in force on one host. A revision never goes back. A version that
/// contradicts other shards waits and comes into force when they allow it, as where a service moves from
/// one shard to another. Pure and not thread-safe.
class CatalogueStore
{
public:
    CatalogueStore();

    /// Offers a version of a shard, whose services are sound by themselves.
    Offer offer(CatalogueShard shard);

    /// Takes every shard away that isn't named. True where one was in force or waited.
    bool keepOnly(const std::vector<std::string> &names);

    /// The catalogue in force; never null, replaced as a whole when it changes.
    std::shared_ptr<const Catalogue> inForce() const
    {
        return inForce_;
    }

    /// The highest revision that was offered of a shard; nullopt where there was none.
    std::optional<std::uint64_t> offeredRevision(const std::string &shard) const;

    /// Shards whose latest version waits, with what stands against each.
    const std::map<std::string, Faults> &waiting() const
    {
        return waiting_;
    }

private:
    void putInForce();

    std::map<std::string, CatalogueShard> offered_;
    std::map<std::string, CatalogueShard> good_;
    std::map<std::string, Faults> waiting_;
    std::shared_ptr<const Catalogue> inForce_;
};

} // namespace medlarway
