#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <vector>

namespace standin
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Span = std::chrono::microseconds;

/// Sockets and timers of one thread.
class Loop
{
public:
    using Task = std::function<void()>;

    Loop();
    ~Loop();
    Loop(const Loop &) = delete;
    Loop &operator=(const Loop &) = delete;

    /// Runs the task at a time, or as soon after it as the thread can.
    void at(Time time, Task task);
    void after(Span span, Task task);

    /// Runs the task whenever the descriptor can be read, or written to, or has failed. Replaces an earlier task.
    void watch(int descriptor, bool write, Task task);
    void unwatch(int descriptor);

    /// Runs until the time.
    void runUntil(Time time);

private:
    struct Timer {
        Time time;
        std::uint64_t number = 0;
        Task task;

        bool operator<(const Timer &other) const
        {
            return time != other.time ? time > other.time : number > other.number;
        }
    };

    void runTimers();

    int epoll_ = -1;
    std::uint64_t lastTimer_ = 0;
    std::priority_queue<Timer> timers_;
    std::map<int, Task> tasks_;
};

} // namespace standin
