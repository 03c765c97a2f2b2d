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

void OmniscientQueue::arrive(const Request &request, Duration work, bool isLong, const AvailabilityZone &zone)
{
    const Entry entry{.request = request, .latestStart = request.deadline - work, .isLong = isLong, .zone = zone, .upstream = 0};
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

void OmniscientQueue::pump(Time now, const std::vector<bool> &draining, Decisions &decisions)
{
    // Step 1. What can't finish any more is refused.
    for (auto &order : order_) {
        while (!order.empty() && order.begin()->first < now) {
            const RequestId late = order.begin()->second;
            decisions.refusals.push_back({late, ErrorKind::DeadlineUnreachable, {}});
            cancel(late);
        }
    }

    // Step 2. The rest starts in the order of the latest start, long work only beside a slot free of it.
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
    const std::optional<std::size_t> chosen = freest(entry, draining);
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

// The least loaded upstream that works; among equals the one with the least work so far.
std::optional<std::size_t> OmniscientQueue::freest(const Entry &entry, const std::vector<bool> &draining) const
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
        const auto rank = [this](std::size_t at) { return std::tuple{loads_[at].running, upstreams_[at].busy(), loads_[at].started}; };
        if (!best || rank(i) < rank(*best)) {
            best = i;
        }
    }
    return best;
}

} // namespace medlarway::model
