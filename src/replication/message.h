#pragma once

#include "base/host.h"
#include "base/time.h"
#include "replication/packed_delta.h"
#include "steering/snapshot.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// A host as reported to another one.
struct HostRecord {
    HostId id;
    Endpoint control; ///< address of its pages
    Duration heardAgo{}; ///< since the sender or its informants last received a message of it

    friend bool operator==(const HostRecord &, const HostRecord &) = default;
};

/// What a host tells of itself.
struct HostIntroduction {
    AvailabilityZone zone;
    Endpoint control; ///< address of its pages

    friend bool operator==(const HostIntroduction &, const HostIntroduction &) = default;
};

/// Asks a host for what changed on the platform since a revision, and for the hosts of the sender's availability zone.
struct FeedRequest {
    std::uint32_t number = 0; ///< random; the reply repeats it
    Revision after; ///< platform revision up to which the sender's data is complete
    std::uint64_t version = 0; ///< of the sender's configuration
    Duration hold{}; ///< the receiver may wait this long for something new
    bool follow = false; ///< the sender relies on the receiver, which then reads the platform
    bool urgent = false; ///< callers of the sender wait for a change
    std::optional<HostIntroduction> sender; ///< left out of most requests, to save bytes; see introduces()
    bool extended = false; ///< the sender understands FeedReply::packed, and askInstead when it has data
    bool referred = false; ///< another host told the sender to ask the receiver, which then supplies it

    friend bool operator==(const FeedRequest &, const FeedRequest &) = default;
};

/// The response to a FeedRequest.
struct FeedReply {
    std::uint32_t number = 0;
    Duration held{}; ///< time from the receipt of the request to this reply
    Revision asOf; ///< platform revision up to which the sender's data is complete
    std::optional<Duration> confirmedAgo; ///< time since the platform confirmed that data, summed over all hosts that passed it on
    bool platformFails = false; ///< the platform does not respond to the sender
    bool fetch = false; ///< the changes exceed a datagram and must be fetched from the sender's pages
    SteeringDelta delta; ///< the changes, unless fetch is set
    std::optional<HostIntroduction> sender; ///< set if the request had it
    std::uint32_t zoneHosts = 0; ///< number of hosts that the sender knows in the receiver's zone
    std::vector<HostRecord> hosts; ///< the first of them by rank; empty unless the request had its sender
    std::vector<RecentEnd> recentEnds; ///< see takeRecentEnds(); empty unless the request had its sender, and on earlier releases
    std::uint32_t fleetHosts = 0; ///< number of hosts that the sender knows in all zones; set if the request had its sender
    HostId askInstead; ///< host of the zone that supplies what the receiver lacks; then asOf is unknown. 0: none
    std::optional<PackedDelta> packed; ///< in place of delta
    std::vector<FormerUpstream> former; ///< see takeFormerUpstreams(); empty unless the request had its sender, and on earlier releases

    friend bool operator==(const FeedReply &, const FeedReply &) = default;
};

/// Whether a request and its reply contain what their senders tell of themselves and of other hosts, which changes rarely: all that are to
/// be answered at once, and one in eight of those to a source.
inline bool introduces(std::uint32_t number, Duration hold)
{
    constexpr std::uint32_t kRequestsPerIntroduction = 8;
    return hold == Duration{} || number % kRequestsPerIntroduction == 0;
}

/// Changes fetched over HTTP.
struct FeedPage {
    std::optional<Duration> confirmedAgo; ///< as in FeedReply
    std::string delta; ///< an encoded SteeringDelta, or PackedDelta
    bool packed = false; ///< which of these; never set by releases that don't know PackedDelta

    friend bool operator==(const FeedPage &, const FeedPage &) = default;
};

} // namespace medlarway
