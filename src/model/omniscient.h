#pragma once

#include "balance/dispatcher.h"
#include "model/fake_upstream.h"
#include "model/scenario.h"

#include <cstdint>
#include <set>
#include <unordered_map>
#include <vector>

namespace medlarway::model
{

/// A single queue for the whole fleet with immediate knowledge of every request's service time and of the true state of
/// each upstream. Serves as the reference that policies with independent hosts are compared with.
class OmniscientQueue
{
public:
    OmniscientQueue(const Scenario &scenario, const std::vector<FakeUpstream> &upstreams);

    /// Adds a request. `serviceTime` is how long a warm upstream takes to run it.
    void arrive(const Request &request, Duration serviceTime, bool isLong, const AvailabilityZone &zone);

    /// Removes a waiting request; does nothing if it is not waiting.
    void cancel(RequestId request);

    /// Frees the slot of a request whose attempt completed or failed; does nothing if it is not running.
    void release(RequestId request);

    /// Refuses the requests that can no longer meet their deadline and starts those that can start.
    void schedule(Time now, const std::vector<bool> &draining, Decisions &decisions);

private:
    struct Entry {
        Request request;
        Time latestStart;
        bool isLong = false;
        AvailabilityZone zone;
        std::size_t upstream = 0;
    };
    using Key = std::pair<Time, RequestId>;

    struct Load {
        std::uint32_t running = 0;
        std::uint32_t runningLong = 0;
        std::uint64_t started = 0;
    };

    bool startFirst(bool isLong, Time now, const std::vector<bool> &draining, Decisions &decisions);
    std::optional<std::size_t> leastLoaded(const Entry &entry, const std::vector<bool> &draining) const;

    const Scenario &scenario_;
    const std::vector<FakeUpstream> &upstreams_;
    std::vector<Load> loads_;
    std::unordered_map<RequestId, Entry> waiting_;
    std::unordered_map<RequestId, Entry> running_;
    std::set<Key> order_[2]; ///< by latest start; index 0 for short requests, 1 for long ones
};

} // namespace medlarway::model
