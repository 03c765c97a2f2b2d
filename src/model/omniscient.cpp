#include "model/omniscient.h"

#include <tuple>

namespace medlarway::model
{

OmniscientQueue::OmniscientQueue(const Scenario &scenario, const std::vector<FakeUpstream> &upstreams)
    : scenario_(scenario)
    , upstreams_(upstreams)
    , loads_(upstreams.size())
{
}

void OmniscientQueue::arrive(const Request &request, Duration serviceTime, bool isLong, const AvailabilityZone &zone)
{
    const Entry entry{.request = request, .latestStart = request.deadline - serviceTime, .isLong = isLong, .zone = zone, .upstream = 0};
    order_[isLong ? 1 : 0].emplace(entry.latestStart, request.id);
    waiting_.emplace(request.id, entry);
}

void OmniscientQueue::cancel(RequestId request)
{
    const auto found = waiting_.find(request);
    if (found == waiting_.end()) {
        return;
    }
    order_[found->second.isLong ? 1 : 0].erase({found->second.latestStart, request});
    waiting_.erase(found);
}

void OmniscientQueue::release(RequestId request)
{
    const auto found = running_.find(request);
    if (found == running_.end()) {
        return;
    }
    Load &load = loads_[found->second.upstream];
    --load.running;
    load.runningLong -= found->second.isLong ? 1 : 0;
    running_.erase(found);
}

void OmniscientQueue::schedule(Time now, const std::vector<bool> &draining, Decisions &decisions)
{
    // Step 1. Refuse requests that can no longer meet their deadline.
    for (auto &order : order_) {
        while (!order.empty() && order.begin()->first < now) {
            const RequestId late = order.begin()->second;
            decisions.refusals.push_back({late, ErrorKind::DeadlineUnreachable, {}});
            cancel(late);
        }
    }

    // Step 2. Start the others in the order of their latest start. Long requests leave one slot of each upstream to
    // short ones.
    bool started = true;
    while (started) {
        const bool longFirst = !order_[1].empty() && (order_[0].empty() || *order_[1].begin() < *order_[0].begin());
        started = startFirst(longFirst, now, draining, decisions) || startFirst(!longFirst, now, draining, decisions);
    }
}

bool OmniscientQueue::startFirst(bool isLong, Time now, const std::vector<bool> &draining, Decisions &decisions)
{
    auto &order = order_[isLong ? 1 : 0];
    if (order.empty() || order.begin()->first < now) {
        return false;
    }
    Entry entry = waiting_.at(order.begin()->second);
    const std::optional<std::size_t> chosen = leastLoaded(entry, draining);
    if (!chosen) {
        return false;
    }
    cancel(entry.request.id);
    entry.upstream = *chosen;
    Load &load = loads_[*chosen];
    ++load.running;
    ++load.started;
    load.runningLong += isLong ? 1 : 0;
    running_.emplace(entry.request.id, entry);
    decisions.starts.push_back({entry.request.id, scenario_.service.upstreams[*chosen].address});
    return true;
}

// Picks the working upstream with the fewest running requests; ties go to the one with the least busy time, then the
// fewest starts.
std::optional<std::size_t> OmniscientQueue::leastLoaded(const Entry &entry, const std::vector<bool> &draining) const
{
    const std::uint32_t slots = scenario_.service.limits.slotsPerUpstream;
    std::optional<std::size_t> best;
    for (std::size_t i = 0; i < loads_.size(); ++i) {
        const Load &load = loads_[i];
        const bool unusable = upstreams_[i].down || upstreams_[i].shedding || draining[i];
        const bool full = load.running >= slots || (entry.isLong && slots > 1 && load.runningLong + 1 >= slots);
        if (unusable || full) {
            continue;
        }
        const auto rank = [this](std::size_t index) {
            return std::tuple{loads_[index].running, upstreams_[index].busy(), loads_[index].started};
        };
        if (!best || rank(i) < rank(*best)) {
            best = i;
        }
    }
    return best;
}

} // namespace medlarway::model
