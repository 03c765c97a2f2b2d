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

/// Result of offering a version of a shard.
enum class OfferResult : std::uint8_t {
    Accepted, ///< the version is in force
    Unchanged, ///< the same revision was offered before
    Stale, ///< a higher revision was offered before
    Refused, ///< conflicts with other shards; the last accepted version stays in force
};

/// Result of an offer; errors are present only if it was refused.
struct Offer {
    OfferResult result = OfferResult::Unchanged;
    Faults faults;
};

/// Combines shards into the catalogue in force on one host. The revision of a shard never decreases. A version that
/// conflicts with other shards stays pending and comes into force once the conflict is resolved, for example while a
/// service moves from one shard to another. No I/O; not thread-safe.
class CatalogueStore
{
public:
    CatalogueStore();

    /// Offers a version of a shard. Its services must be valid by themselves.
    Offer offer(CatalogueShard shard);

    /// Removes every shard that is not listed. True if there was one, in force or pending.
    bool retainOnly(const std::vector<std::string> &names);

    /// The catalogue in force. Never null; replaced as a whole when it changes.
    std::shared_ptr<const Catalogue> inForce() const
    {
        return inForce_;
    }

    /// The highest offered revision of a shard; nullopt if none was offered.
    std::optional<std::uint64_t> latestRevision(const std::string &shard) const;

    /// Shards whose latest version is not in force because of conflicts, with the errors of each.
    const std::map<std::string, Faults> &pending() const
    {
        return pending_;
    }

private:
    void updateInForce();

    std::map<std::string, CatalogueShard> latest_; ///< latest offered versions
    std::map<std::string, CatalogueShard> accepted_; ///< versions in force
    std::map<std::string, Faults> pending_;
    std::shared_ptr<const Catalogue> inForce_;
};

} // namespace medlarway
