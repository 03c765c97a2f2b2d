#pragma once

#include "base/host.h"
#include "base/time.h"
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

/// Asks a host for what changed on the platform since a revision, and for the hosts of the sender's availability zone.
struct FeedRequest {
    std::uint64_t number = 0; ///< random; the reply repeats it
    std::uint64_t after = 0; ///< platform revision up to which the sender's data is complete; 0: it has none
    std::uint64_t version = 0; ///< of the sender's configuration
    Duration hold{}; ///< the receiver may wait this long for something new
    bool follow = false; ///< the sender relies on the receiver, which then reads the platform
    bool urgent = false; ///< callers of the sender wait for a change
    AvailabilityZone zone; ///< of the sender
    Endpoint control; ///< of the sender

    friend bool operator==(const FeedRequest &, const FeedRequest &) = default;
};

/// The response to a FeedRequest.
struct FeedReply {
    std::uint64_t number = 0;
    Duration held{}; ///< time from the receipt of the request to this reply
    std::uint64_t asOf = 0; ///< platform revision up to which the sender's data is complete; 0: it has none
    std::optional<Duration> confirmedAgo; ///< time since the platform confirmed that data, summed over all hosts that passed it on
    bool platformFails = false; ///< the platform does not respond to the sender
    bool fetch = false; ///< the changes exceed a datagram and must be fetched from the sender's pages
    SteeringDelta delta; ///< the changes, unless fetch is set
    AvailabilityZone zone; ///< of the sender
    Endpoint control; ///< address of the sender's pages
    std::uint32_t zoneHosts = 0; ///< number of hosts that the sender knows in the receiver's zone
    std::vector<HostRecord> hosts; ///< the first of them by rank; left out of most replies to followers

    friend bool operator==(const FeedReply &, const FeedReply &) = default;
};

/// Changes fetched over HTTP.
struct FeedPage {
    std::optional<Duration> confirmedAgo; ///< as in FeedReply
    std::string delta; ///< an encoded SteeringDelta

    friend bool operator==(const FeedPage &, const FeedPage &) = default;
};

} // namespace medlarway
