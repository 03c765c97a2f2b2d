#include "balance/wait_queue.h"

#include <algorithm>

namespace medlarway
{

void WaitQueue::push(const QueuedRequest &waiting)
{
    entries_.emplace(waiting.request.id, waiting);
    order_[waiting.isLong ? 1 : 0].emplace(waiting.latestStart, waiting.request.id);
    ++countByCaller_[waiting.request.caller];
}

std::optional<QueuedRequest> WaitQueue::remove(RequestId request)
{
    const auto found = entries_.find(request);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    const QueuedRequest waiting = found->second;
    entries_.erase(found);
    order_[waiting.isLong ? 1 : 0].erase({waiting.latestStart, request});
    const auto caller = countByCaller_.find(waiting.request.caller);
    if (--caller->second == 0) {
        countByCaller_.erase(caller);
    }
    return waiting;
}

const QueuedRequest *WaitQueue::first(bool isLong, Time now) const
{
    for (const Key &key : order_[isLong ? 1 : 0]) {
        const QueuedRequest &waiting = entries_.at(key.second);
        if (waiting.readyAt <= now) {
            return &waiting;
        }
    }
    return nullptr;
}

std::vector<QueuedRequest> WaitQueue::expire(Time now)
{
    std::vector<QueuedRequest> expired;
    for (const auto &order : order_) {
        while (!order.empty() && order.begin()->first < now) {
            expired.push_back(*remove(order.begin()->second));
        }
    }
    return expired;
}

// Ties go to the lowest caller hash, so that the choice does not depend on the iteration order of the hash table.
const QueuedRequest *WaitQueue::lastOfBusiestCaller() const
{
    std::uint64_t busiest = 0;
    std::size_t maxCount = 0;
    for (const auto &[caller, requests] : countByCaller_) {
        if (requests > maxCount || (requests == maxCount && caller < busiest)) {
            busiest = caller;
            maxCount = requests;
        }
    }
    const QueuedRequest *last = nullptr;
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

std::size_t WaitQueue::countOfCaller(std::uint64_t caller) const
{
    const auto found = countByCaller_.find(caller);
    return found == countByCaller_.end() ? 0 : found->second;
}

std::size_t WaitQueue::countAhead(bool isLong, Time latestStart) const
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
        if (waiting.readyAt > now) {
            consider(waiting.readyAt);
        }
    }
    return next;
}

} // namespace medlarway
