#pragma once

#include "base/endpoint.h"
#include "base/random.h"
#include "base/time.h"

#include <chrono>
#include <map>
#include <optional>
#include <vector>

namespace medlarway
{

/// The known entry hosts by control address: the seeds of the settings, which may be stale, hosts that exchanged a request with this one,
/// and hosts reported by others. Does no I/O; not thread-safe.
class PeerHosts
{
public:
    PeerHosts(const Endpoint &self, std::uint64_t seed);

    /// Replaces the seeds.
    void setSeeds(const std::vector<Endpoint> &seeds);

    /// Records a request or a response from a host.
    void recordContact(const Endpoint &host, Time now);

    /// Adds hosts reported by another host.
    void addReported(const std::vector<Endpoint> &hosts, Time now);

    /// The next host to query: all known hosts in turn, in random order. nullopt if none is known.
    std::optional<Endpoint> next(Time now);

    /// The hosts seen recently, to be reported to others; at most kMaxHosts.
    std::vector<Endpoint> recent(Time now) const;

    /// Maximum number of hosts stored besides the seeds, and reported in a response.
    static constexpr std::size_t kMaxHosts = 16;

private:
    Endpoint self_;
    Random random_;
    std::vector<Endpoint> seeds_;
    std::map<Endpoint, Time> lastSeen_;
    std::vector<Endpoint> round_; ///< hosts still to be queried in this round
};

/// Time after which a host that was not seen again is removed.
inline constexpr Duration kPeerExpiry = std::chrono::minutes{5};

} // namespace medlarway
