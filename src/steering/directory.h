#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/time.h"
#include "steering/flow_packet.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// One start of an upstream, as it describes itself to the platform.
struct UpstreamEntry {
    std::string id;
    std::uint64_t number = 0; ///< the id as packets to it carry it
    Endpoint address;
    std::string service;
    AvailabilityZone zone;
    std::uint32_t slots = 1; ///< requests that it runs at once
    bool draining = false; ///< takes no new flows, keeps those it has
    Duration warmUpLeft{}; ///< how much longer it is slow after its start
    std::uint64_t born = 0; ///< milliseconds of its start; 0 where it does not say
    std::uint64_t revision = 0; ///< of the platform; a lower one never replaces a higher one

    friend bool operator==(const UpstreamEntry &, const UpstreamEntry &) = default;
};

/// What is believed of an upstream's listing.
enum class Presence : std::uint8_t {
    Listed,
    Gone, ///< no longer listed; it may still live and hold flows
    Replaced, ///< another upstream has its address, so it has ended
};

/// Signs of life that the packets of this host's flows give of one upstream.
struct LifeSigns {
    Time lastProgress; ///< when a client last showed that the upstream had answered
    std::uint32_t generation = 1; ///< rises with each sign of life; flows remember in which they were counted
    std::uint32_t stalledFlows = 0; ///< flows that sent again without an answer since the last sign of life
    std::optional<Time> suspectedAt; ///< set while it is taken for unreachable
    Time lastTrial; ///< when a new flow was last sent to it while suspected, or the suspicion began
    std::uint32_t trials = 0; ///< since the suspicion began
    Time probedAt; ///< when a connection to it was last asked for
    std::optional<Time> unreachableAt; ///< suspected, and no connection to it could be made then

    friend bool operator==(const LifeSigns &, const LifeSigns &) = default;
};

/// An upstream with what this host knows of it.
struct KnownUpstream {
    UpstreamEntry entry;
    FlowToken token = 0;
    Presence presence = Presence::Listed;
    Time changedAt; ///< of the presence
    Time warmUntil;
    LifeSigns life;
    std::uint32_t running = 0; ///< requests of this host's flows that wait for their answer
    std::uint32_t flows = 0; ///< open flows of this host
    double expected = 0; ///< requests that these flows are expected to run at once, on average
};

/// Where an upstream stands in the directory; stays the same for its life.
using UpstreamIndex = std::uint32_t;
inline constexpr UpstreamIndex kNoUpstream = 0xffffffff;

/// How long an upstream that is no longer listed can be found by its token. Longer than any flow is kept by the clients' rules.
inline constexpr Duration kTombstoneLife = std::chrono::seconds{75};

/// The token of an upstream, the same on every host.
FlowToken tokenOf(std::string_view id);

/// The upstreams that the platform lists, and for a while those that it listed before. Not thread-safe.
class UpstreamDirectory
{
public:
    /// Which services exist. Entries of others may come from anybody: they take no address from an upstream. Empty: not known.
    void nameServices(std::vector<std::string> services);

    /// Takes an entry; false where a later revision of it is known.
    bool apply(const UpstreamEntry &entry, Time now);

    /// The platform no longer lists the id; false where a later revision of it is known or it isn't listed.
    bool remove(std::string_view id, std::uint64_t revision, Time now);

    /// The platform was read whole: what is listed here with a lower revision and not named is gone.
    std::size_t removeAllBut(std::span<const std::string> ids, std::uint64_t revision, Time now);

    /// Forgets upstreams that have been gone for long and have no flows here.
    void expire(Time now);

    /// Sets the expected load of every upstream to 0, before it is added up again.
    void clearExpected();

    /// The upstream that a token names; among several the one that is listed. kNoUpstream where none is known.
    UpstreamIndex findToken(FlowToken token) const;

    /// Where the id stands; kNoUpstream where it is not known.
    UpstreamIndex findId(std::string_view id) const;

    KnownUpstream &at(UpstreamIndex index)
    {
        return upstreams_[index];
    }

    const KnownUpstream &at(UpstreamIndex index) const
    {
        return upstreams_[index];
    }

    /// All upstreams; those without an id are free places.
    std::span<const KnownUpstream> all() const
    {
        return upstreams_;
    }

    /// The listed upstreams of a service, draining ones included.
    std::span<const UpstreamIndex> ofService(const std::string &service) const;

    std::size_t listedCount() const
    {
        return listed_;
    }

private:
    UpstreamIndex add(const UpstreamEntry &entry);
    void leaveList(UpstreamIndex index, Presence presence, Time now);
    void takeAddress(UpstreamIndex index, Time now);
    void rebuildServices();
    bool isNamed(const std::string &service) const;

    std::vector<std::string> services_; ///< that exist
    std::vector<KnownUpstream> upstreams_;
    std::vector<UpstreamIndex> free_;
    std::size_t listed_ = 0;
    boost::unordered_flat_map<std::string, UpstreamIndex> byId_;
    boost::unordered_flat_map<Endpoint, UpstreamIndex, std::hash<Endpoint>> byAddress_;
    boost::unordered_flat_map<FlowToken, std::vector<UpstreamIndex>> byToken_;
    boost::unordered_flat_map<std::string, std::vector<UpstreamIndex>> byService_;
};

} // namespace medlarway
