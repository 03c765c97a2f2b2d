#pragma once

#include "base/host.h"
#include "base/time.h"
#include "steering/revision.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace medlarway
{

/// Decides which hosts of the zone fetch a page from this host, and from whom the others do: each host supplies a limited number of bytes
/// in a second, and refers the rest to those that it has just offered its page. Does no I/O; not thread-safe.
class PageOffers
{
public:
    /// The host that the requester is to ask for what it lacks after a revision; nullopt if this host supplies it. A requester that asks
    /// for the same again within a second is supplied by this host.
    std::optional<HostId> referral(HostId requester, const Revision &after, std::size_t pageBytes, Time now);

    /// Records that this host supplies the requester, which was referred to it.
    void recordSupply(HostId requester, const Revision &after, std::size_t pageBytes, Time now);

private:
    struct Offer {
        HostId to;
        Revision after;
        Time at;
        std::size_t ownBytes = 0; ///< that this host supplies to it
        std::size_t referredBytes = 0; ///< that it supplies to hosts which were referred to it
    };

    std::vector<Offer> offers_; ///< of the last second, the oldest first
};

/// How many bytes of pages a host supplies to its zone in a second. One page, however large, is always supplied.
inline constexpr std::size_t kOfferedBytesPerSecond = 45'000;

} // namespace medlarway
