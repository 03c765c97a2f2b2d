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

/// The entry hosts that this one knows by their control addresses: the seeds of the settings, which may be stale, hosts
/// that asked this one, and hosts that others named. Pure; not thread-safe.
class PeerHosts
{
public:
    PeerHosts(const Endpoint &self, std::uint64_t seed);

    /// Puts the seeds of the settings in place of those before.
    void setSeeds(const std::vector<Endpoint> &seeds);

    /// A host asked this one, or answered it.
    void heardOf(const Endpoint &host, Time now);

    /// Another host named these.
    void named(const std::vector<Endpoint> &hosts, Time now);

    /// The next host to ask: each known one in turn, in an order of this host's own. nullopt where none is known.
    std::optional<Endpoint> next(Time now);

    /// Hosts heard of lately, to be named to others; at most kMostNamed.
    std::vector<Endpoint> recent(Time now) const;

    /// The most hosts that are kept, and named in one answer.
    static constexpr std::size_t kMostNamed = 16;

private:
    Endpoint self_;
    Random random_;
    std::vector<Endpoint> seeds_;
    std::map<Endpoint, Time> heard_;
    std::vector<Endpoint> round_; ///< still to be asked in this round
};

/// How long a host is remembered that is heard of no longer.
inline constexpr Duration kPeerMemory = std::chrono::minutes{5};

} // namespace medlarway
