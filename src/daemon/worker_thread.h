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

/// Timeout of WorkerThread::call().
inline constexpr std::chrono::seconds kCallTimeout{1};

/// A thread that runs an Asio context and the tasks that other threads post to it through a bounded ring. An exception
/// thrown by a task is logged and doesn't end the thread.
class WorkerThread
{
public:
    WorkerThread(std::string name, std::size_t ringCapacity);
    ~WorkerThread();
    WorkerThread(const WorkerThread &) = delete;
    WorkerThread &operator=(const WorkerThread &) = delete;

    /// Starts the thread. Objects that use the context may be created before.
    void start();

    /// Queues a task. Thread-safe. Returns false, and counts an error, if the ring is full.
    bool post(std::function<void()> task);

    /// Runs a function on this thread and returns its result, or the fallback if the ring is full or kCallTimeout
    /// passes; after a timeout the function may still run. Must not be called on this thread itself.
    template<class T>
    T call(std::function<T()> function, T fallback)
    {
        auto promise = std::make_shared<std::promise<T>>();
        auto result = promise->get_future();
        const bool posted = post([promise, function = std::move(function)] { promise->set_value(function()); });
        if (!posted || result.wait_for(kCallTimeout) != std::future_status::ready) {
            return fallback;
        }
        return result.get();
    }

    /// Stops and joins the thread. Objects that use the context must not be called afterwards.
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
    std::mutex producerMutex_; ///< serializes producers, as the ring allows only one at a time; the consumer never locks it
    Ring<std::function<void()>> ring_;
    std::atomic<bool> wakeupPending_{false}; ///< whether a call of runTasks() is already queued on the context
    std::thread thread_;
};

} // namespace medlarway
