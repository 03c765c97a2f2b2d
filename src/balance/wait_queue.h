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

/// A request that waits for a slot.
struct Waiting {
    Request request;
    Time latestStart; ///< a later start is not expected to finish by the deadline
    Time ready; ///< not to be started before, for back-off
    std::uint32_t attempts = 0; ///< that failed
    std::optional<Endpoint> avoid{}; ///< the upstream of the last attempt
    bool isLong = false;
    bool mayHaveRun = false; ///< an earlier attempt was lost
    ErrorKind lastFailure = ErrorKind::DeadlineUnreachable; ///< what to tell the caller where time runs out
};

/// The requests that wait, in the order of their latest start, short and long ones apart.
class WaitQueue
{
public:
    void push(const Waiting &waiting);

    /// Takes a request out; nullopt where it does not wait here.
    std::optional<Waiting> remove(RequestId request);

    /// The request of the lane that must start first and is ready; nullptr where there is none.
    const Waiting *first(bool isLong, Time now) const;

    /// Takes out every request whose latest start has passed.
    std::vector<Waiting> expire(Time now);

    /// The waiting request with the latest start of the caller that has most of them waiting.
    const Waiting *lastOfBusiestCaller() const;

    /// Requests of the caller that wait.
    std::size_t ofCaller(std::uint64_t caller) const;

    /// Callers that have a request waiting.
    std::size_t callers() const
    {
        return callers_.size();
    }

    /// Requests of the lane that must start no later than the time given.
    std::size_t ahead(bool isLong, Time latestStart) const;

    /// The earliest time at which a waiting request becomes ready or expires.
    std::optional<Time> nextEvent(Time now) const;

    std::size_t size() const
    {
        return entries_.size();
    }

    std::size_t size(bool isLong) const
    {
        return order_[isLong ? 1 : 0].size();
    }

    /// All that wait, in no order.
    const std::unordered_map<RequestId, Waiting> &entries() const
    {
        return entries_;
    }

private:
    using Key = std::pair<Time, RequestId>;

    std::unordered_map<RequestId, Waiting> entries_;
    std::set<Key> order_[2]; ///< short, long
    std::unordered_map<std::uint64_t, std::size_t> callers_;
};

} // namespace medlarway
