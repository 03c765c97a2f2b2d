#pragma once

#include "balance/dispatcher.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace medlarway
{

/// A request that is waiting for a slot.
struct QueuedRequest {
    Request request;
    Time latestStart; ///< if started later, it is not expected to meet its deadline
    Time readyAt; ///< end of the retry backoff; not started before
    std::uint32_t attempts = 0; ///< failed attempts so far
    std::optional<Endpoint> avoid{}; ///< the upstream of the failed attempt; empty for a new request
    bool isLong = false; ///< which lane it waits in
    bool mayHaveRun = false; ///< an earlier attempt ended as AttemptResult::Lost
    ErrorKind lastError = ErrorKind::DeadlineUnreachable; ///< error of the last attempt, used if a retry expires
};

/// The waiting requests in two lanes, short and long, each ordered by latest start.
class WaitQueue
{
public:
    void push(const QueuedRequest &waiting);

    /// Removes and returns a request; nullopt if it is not in the queue.
    std::optional<QueuedRequest> remove(RequestId request);

    /// The request of the lane with the earliest latest start whose backoff is over; nullptr if there is none.
    const QueuedRequest *first(bool isLong, Time now) const;

    /// Removes and returns every request whose latest start is before `now`.
    std::vector<QueuedRequest> expire(Time now);

    /// Of the caller with the most waiting requests, the request with the last latest start; nullptr if the queue is
    /// empty.
    const QueuedRequest *lastOfBusiestCaller() const;

    /// The number of waiting requests of the caller.
    std::size_t countOfCaller(std::uint64_t caller) const;

    /// The number of callers with at least one waiting request.
    std::size_t callerCount() const
    {
        return countByCaller_.size();
    }

    /// The number of requests of the lane whose latest start is at or before the given one.
    std::size_t countAhead(bool isLong, Time latestStart) const;

    /// The earliest time at which the backoff of a waiting request ends or a request expires; nullopt if neither.
    std::optional<Time> nextEvent(Time now) const;

    std::size_t size() const
    {
        return entries_.size();
    }

    std::size_t size(bool isLong) const
    {
        return order_[isLong ? 1 : 0].size();
    }

    /// All waiting requests, in no particular order.
    const std::unordered_map<RequestId, QueuedRequest> &entries() const
    {
        return entries_;
    }

private:
    using Key = std::pair<Time, RequestId>;

    std::unordered_map<RequestId, QueuedRequest> entries_;
    std::set<Key> order_[2]; ///< by latest start; index 0 is the short lane, 1 the long lane
    std::unordered_map<std::uint64_t, std::size_t> countByCaller_;
};

} // namespace medlarway
