#include "replication/page_offers.h"

#include <algorithm>
#include <chrono>

namespace medlarway
{

namespace
{

constexpr Duration kOfferMemory = std::chrono::seconds{1};

bool hasRoom(std::size_t usedBytes, std::size_t pageBytes)
{
    return usedBytes == 0 || usedBytes + pageBytes <= kOfferedBytesPerSecond;
}

} // namespace

// Only hosts that asked for the same are about to have what the requester lacks. The first of them is always supplied by this host.
std::optional<HostId> PageOffers::referral(HostId requester, const Revision &after, std::size_t pageBytes, Time now)
{
    std::erase_if(offers_, [now](const Offer &offer) { return now - offer.at >= kOfferMemory; });
    const auto isSame = [&](const Offer &offer) { return offer.to == requester && offer.after == after; };
    if (std::any_of(offers_.begin(), offers_.end(), isSame)) {
        return std::nullopt; // it did not get the data elsewhere
    }
    std::size_t ownBytes = 0;
    for (const auto &offer : offers_) {
        ownBytes += offer.ownBytes;
    }
    const auto maySupply
        = [&](const Offer &offer) { return offer.to != requester && offer.after == after && hasRoom(offer.referredBytes, pageBytes); };
    const auto supplier = std::find_if(offers_.begin(), offers_.end(), maySupply);
    if (hasRoom(ownBytes, pageBytes) || supplier == offers_.end()) {
        recordSupply(requester, after, pageBytes, now);
        return std::nullopt;
    }
    supplier->referredBytes += pageBytes;
    const auto referral = supplier->to;
    offers_.push_back({requester, after, now, 0, 0});
    return referral;
}

void PageOffers::recordSupply(HostId requester, const Revision &after, std::size_t pageBytes, Time now)
{
    offers_.push_back({requester, after, now, pageBytes, 0});
}

} // namespace medlarway
