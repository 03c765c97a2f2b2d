#include "loop.h"

#include <algorithm>
#include <array>
#include <sys/epoll.h>
#include <unistd.h>
#include <utility>

namespace standin
{

Loop::Loop()
    : epoll_(epoll_create1(EPOLL_CLOEXEC))
{
}

// The tasks may own what unwatches its descriptor as it is destroyed.
Loop::~Loop()
{
    std::exchange(timers_, {});
    std::exchange(tasks_, {});
    close(epoll_);
}

void Loop::at(Time time, Task task)
{
    timers_.push({time, ++lastTimer_, std::move(task)});
}

void Loop::after(Span span, Task task)
{
    at(Clock::now() + span, std::move(task));
}

void Loop::watch(int descriptor, bool write, Task task)
{
    epoll_event event{};
    event.events = write ? EPOLLOUT : EPOLLIN;
    event.data.fd = descriptor;
    const bool known = tasks_.contains(descriptor);
    tasks_[descriptor] = std::move(task);
    epoll_ctl(epoll_, known ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, descriptor, &event);
}

void Loop::unwatch(int descriptor)
{
    tasks_.erase(descriptor);
    epoll_ctl(epoll_, EPOLL_CTL_DEL, descriptor, nullptr);
}

void Loop::runTimers()
{
    while (!timers_.empty() && timers_.top().time <= Clock::now()) {
        const auto task = timers_.top().task;
        timers_.pop();
        task();
    }
}

void Loop::runUntil(Time time)
{
    bool ended = false;
    at(time, [&ended] { ended = true; });
    while (!ended) {
        runTimers();
        if (ended) {
            return;
        }
        const auto left = std::chrono::ceil<std::chrono::milliseconds>(timers_.top().time - Clock::now());
        std::array<epoll_event, 64> events{};
        const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()),
                                     static_cast<int>(std::clamp<std::int64_t>(left.count(), 0, 5)));
        for (int row = 0; row < count; ++row) {
            const auto found = tasks_.find(events.at(static_cast<std::size_t>(row)).data.fd);
            if (found != tasks_.end()) {
                const auto task = found->second; // the task may replace or remove itself
                task();
            }
        }
    }
}

} // namespace standin
