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

/// One queue for the whole fleet that knows each request's work and the true state of each upstream
/// at once: the limit that hosts which decide alone are compared with.
class OmniscientQueue
{
public:
    OmniscientQueue(const Scenario &scenario, const std::vector<FakeUpstream> &upstreams);

    void arrive(const Request &request, Duration work, bool isLong, const AvailabilityZone &zone);

    /// The caller of a request that waits went away, or it can't be answered any more.
    void cancel(RequestId request);

    /// A request's slot came free, or its attempt failed.
    void release(RequestId request);

    /// Drops what can't finish any more and starts what can start.
    void pump(Time now, const std::vector<bool> &draining, Decisions &decisions);

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
    std::optional<std::size_t> freest(const Entry &entry, const std::vector<bool> &draining) const;

    const Scenario &scenario_;
    const std::vector<FakeUpstream> &upstreams_;
    std::vector<Load> loads_;
    std::unordered_map<RequestId, Entry> waiting_;
    std::unordered_map<RequestId, Entry> running_;
    std::set<Key> order_[2]; ///< short, long
};

} // namespace medlarway::model
