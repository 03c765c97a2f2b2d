#pragma once

#include "base/ring.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace medlarway
{

/// How long one duty waits for another's answer.
inline constexpr std::chrono::seconds kAnswerWait{1};

/// A thread for one duty, with an Asio context. Other threads hand it tasks by a bounded ring. An exception
/// of a task is logged and contained.
class DutyThread
{
public:
    DutyThread(std::string name, std::size_t ringCapacity);
    ~DutyThread();
    DutyThread(const DutyThread &) = delete;
    DutyThread &operator=(const DutyThread &) = delete;

    /// Begins to run. Objects that use the context may be made before it.
    void start();

    /// Hands over a task. Any thread may call it. False, and counted, where the ring is full.
    bool hand(std::function<void()> task);

    /// Asks for a value and waits; the fallback where the duty does not answer in time.
    /// Not to be called on the duty's own thread.
    template<class T>
    T ask(std::function<T()> question, T fallback)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto answer = promise->get_future();
        const bool handed = hand([promise, question = std::move(question)] { promise->set_value(question()); });
        if (!handed || answer.wait_for(kAnswerWait) != std::future_status::ready) {
            return fallback;
        }
        return answer.get();
    }

    /// Ends the thread. What uses the context must not be called afterwards.
    void stop();

    boost::asio::io_context &context()
    {
        return context_;
    }

private:
    void run();
    void runTasks();

    std::string name_;
    boost::asio::io_context context_{1};
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::mutex producers_; ///< the ring has one producer at a time; the duty itself never takes it
    Ring<std::function<void()>> ring_;
    std::atomic<bool> woken_{false};
    std::thread thread_;
};

} // namespace medlarway
