#include "balance/wait_queue.h"

#include <algorithm>

namespace medlarway
{

void WaitQueue::push(const Waiting &waiting)
{
    entries_.emplace(waiting.request.id, waiting);
    order_[waiting.isLong ? 1 : 0].emplace(waiting.latestStart, waiting.request.id);
    ++callers_[waiting.request.caller];
}

std::optional<Waiting> WaitQueue::remove(RequestId request)
{
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    const Waiting waiting = found->second;
    entries_.erase(found);
    order_[waiting.isLong ? 1 : 0].erase({waiting.latestStart, request});
    const auto caller = callers_.find(waiting.request.caller);
    if (--caller->second == 0) {
        callers_.erase(caller);
    }
    return waiting;
}

const Waiting *WaitQueue::first(bool isLong, Time now) const
{
    for (const Key &key : order_[isLong ? 1 : 0]) {
        const Waiting &waiting = entries_.at(key.second);
        if (waiting.ready <= now) {
            return &waiting;
        }
    }
    return nullptr;
}

std::vector<Waiting> WaitQueue::expire(Time now)
{
    std::vector<Waiting> expired;
    for (const auto &order : order_) {
        while (!order.empty() && order.begin()->first < now) {
            expired.push_back(*remove(order.begin()->second));
        }
    }
    return expired;
}

// Ties go to the lowest caller, so that the choice does not depend on the table's order.
const Waiting *WaitQueue::lastOfBusiestCaller() const
{
    std::uint64_t busiest = 0;
    std::size_t most = 0;
    for (const auto &[caller, requests] : callers_) {
        if (requests > most || (requests == most && caller < busiest)) {
            busiest = caller;
            most = requests;
        }
    }
    const Waiting *last = nullptr;
    for (const auto &[id, waiting] : entries_) {
        if (waiting.request.caller != busiest) {
            continue;
        }
        if (last == nullptr || Key{waiting.latestStart, id} > Key{last->latestStart, last->request.id}) {
            last = &waiting;
        }
    }
    return last;
}

std::size_t WaitQueue::ofCaller(std::uint64_t caller) const
{
    const auto found = callers_.find(caller);
    return found == callers_.end() ? 0 : found->second;
}

std::size_t WaitQueue::ahead(bool isLong, Time latestStart) const
{
    const auto &order = order_[isLong ? 1 : 0];
    return static_cast<std::size_t>(std::distance(order.begin(), order.upper_bound({latestStart, ~RequestId{0}})));
}

std::optional<Time> WaitQueue::nextEvent(Time now) const
{
    std::optional<Time> next;
    const auto consider = [&next](Time time) { next = next ? std::min(*next, time) : time; };
    for (const auto &order : order_) {
        if (!order.empty()) {
            consider(order.begin()->first + Duration{1});
        }
    }
    for (const auto &[id, waiting] : entries_) {
        if (waiting.ready > now) {
            consider(waiting.ready);
        }
    }
    return next;
}

} // namespace medlarway
