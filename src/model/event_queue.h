#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace medlarway::model
{

/// A virtual clock with a queue of actions, executed in the order of their time and, for equal times, of posting.
class EventQueue
{
public:
    using Action = std::function<void()>;

    Time now() const
    {
        return now_;
    }

    /// Posts an action; one in the past runs at the current time.
    void at(Time time, Action action)
    {
        entries_.push(Entry{std::max(time, now_), next_++, std::move(action)});
    }

    void after(Duration delay, Action action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Executes all actions up to `end`, including those posted meanwhile, and sets the clock to `end`.
    void runUntil(Time end)
    {
        while (!entries_.empty() && entries_.top().time <= end) {
            // Copied, since top() returns a const reference and the action may post to the queue.
            const Entry entry = entries_.top();
            entries_.pop();
            now_ = entry.time;
            entry.action();
        }
        now_ = end;
    }

private:
    struct Entry {
        Time time;
        std::uint64_t order;
        Action action;

        bool operator<(const Entry &other) const
        {
            return std::pair{other.time, other.order} < std::pair{time, order};
        }
    };

    std::priority_queue<Entry> entries_;
    Time now_{};
    std::uint64_t next_ = 0;
};

} // namespace medlarway::model
