#pragma once

#include "base/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace medlarway::model
{

/// A virtual clock and what is to happen, in the order of time and, within one moment, of posting.
class EventQueue
{
public:
    using Action = std::function<void()>;

    Time now() const
    {
        return now_;
    }

    void at(Time time, Action action)
    {
        entries_.push(Entry{std::max(time, now_), next_++, std::move(action)});
    }

    void after(Duration delay, Action action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Runs everything up to the time given, and what that posts up to then.
    void runUntil(Time end)
    {
        while (!entries_.empty() && entries_.top().time <= end) {
            // The queue's top is const; the entry is copied, since its action may post others.
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
