#pragma once

#include "base/ring.h"
#include "proxy/engine.h"
#include "proxy/net.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <string>
#include <thread>
#include <vector>

namespace medlarway
{

class ServiceRunner;

/// Size in bytes of a data thread's shared read buffer.
inline constexpr std::size_t kScratchBytes = 128U << 10U;

/// One thread of the data path with the services pinned to it. Other threads pass tasks to it through a bounded ring.
class DataThread
{
public:
    /// The options and ports must outlive it.
    DataThread(const ProxyOptions &options, const ProxyPorts &ports, unsigned index);
    ~DataThread();
    DataThread(const DataThread &) = delete;
    DataThread &operator=(const DataThread &) = delete;

    /// Queues a task. Thread-safe. If the ring is full, reports RingFull and returns false.
    bool enqueue(std::function<void()> task);

    /// Applies the services pinned to this thread. Thread-safe. A later call replaces a value that is still pending, so
    /// it can't fail.
    void replaceServices(std::shared_ptr<const std::vector<Service>> services);

    /// Applies a new view. Thread-safe. Like replaceServices() it can't fail.
    void replaceView(std::shared_ptr<const View> view);

    /// Begins the planned stop. Thread-safe; can't fail.
    void beginDrain();

    /// Whether the planned stop of every service on this thread is complete. Thread-safe.
    bool drained() const;

    // The functions below may only be called on the thread itself.

    ServiceRunner *find(const std::string &service);
    std::string stateAsJson();

    asio::io_context &context()
    {
        return context_;
    }

    /// Shared buffer for one read and the write that follows. Its contents don't survive a suspension of the caller.
    std::span<char> scratch()
    {
        return scratch_;
    }

    const ProxyOptions &options() const
    {
        return options_;
    }

    const ProxyPorts &ports() const
    {
        return ports_;
    }

private:
    void run();
    void wake();
    void runTasks();
    void applyPending();
    void applyServices(const std::vector<Service> &services);
    void applyDrain();
    void scheduleSweep();
    void sweep();

    const ProxyOptions &options_;
    const ProxyPorts &ports_;
    const unsigned index_;
    asio::io_context context_{1};
    asio::executor_work_guard<asio::io_context::executor_type> work_;
    asio::steady_timer sweepTimer_;
    std::vector<char> scratch_;
    std::mutex producerMutex_; ///< serializes producers of the ring; the data thread never locks it
    Ring<std::function<void()>> ring_;
    std::atomic<bool> wakePending_{false};
    std::atomic<std::shared_ptr<const std::vector<Service>>> pendingServices_;
    std::atomic<std::shared_ptr<const View>> pendingView_;
    std::atomic<bool> drainRequested_{false};
    std::atomic<bool> drained_{false};
    bool draining_ = false;
    std::shared_ptr<const View> view_;
    std::vector<std::shared_ptr<ServiceRunner>> runners_;
    std::thread thread_;
};

} // namespace medlarway
