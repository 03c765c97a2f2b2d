#pragma once

#include "base/host.h"
#include "base/time.h"
#include "replication/message.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace medlarway
{

/// A follower's request that waits for news.
struct HeldRequest {
    HostId from;
    FeedRequest request;
    Time receivedAt;
    Time dueAt; ///< when it is answered at the latest
    bool needsConfirmation = false; ///< this host's data was too old, so it is answered once the platform has responded
};

/// What a host that is asked knows.
struct SourceState {
    KnownData known;
    Time confirmedAt; ///< when the platform confirmed it; Time{} if it never did
    bool platformFails = false;
};

/// The requests of followers that this host holds until it has something new, one for each follower. Does no I/O; not thread-safe.
class HeldRequests
{
public:
    /// Adds a request. A later one of the same host replaces it.
    void add(HostId from, const FeedRequest &request, const SourceState &state, Duration maxAge, Time now);

    /// Removes and returns the requests to be answered now: those that are due, and those that have waited for what the state contains.
    std::vector<HeldRequest> takeAnswerable(const SourceState &state, Time now);

    /// When the next request is due; nullopt if there is none.
    std::optional<Time> nextDue() const;

    std::size_t size() const
    {
        return held_.size();
    }

private:
    std::map<HostId, HeldRequest> held_;
};

/// Maximum number of held requests; later ones are answered at once.
inline constexpr std::size_t kMaxHeldRequests = 256;

} // namespace medlarway
