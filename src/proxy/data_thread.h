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

/// Bytes that a data thread reads at a time.
inline constexpr std::size_t kScratchBytes = 128U << 10U;

/// One thread of the data path with the services pinned to it. Other threads hand it tasks by a bounded ring.
class DataThread
{
public:
    /// The options and ports must outlive it.
    DataThread(const ProxyOptions &options, const ProxyPorts &ports, unsigned index);
    ~DataThread();
    DataThread(const DataThread &) = delete;
    DataThread &operator=(const DataThread &) = delete;

    /// Hands over a task. Any thread may call it. False, and counted, where the ring is full.
    bool hand(std::function<void()> task);

    /// Puts the services pinned to this thread in force. Any thread may call it. A later value replaces one that
    /// still waits, so it can't be refused.
    void replaceServices(std::shared_ptr<const std::vector<Service>> services);

    /// Takes a new view, in the same way.
    void replaceView(std::shared_ptr<const View> view);

    /// Begins the planned stop. Any thread may call it; it can't be refused.
    void beginDrain();

    /// Whether a planned stop of every service here is over. Any thread may ask.
    bool drained() const;

    // The rest is for tasks on the thread itself.

    ServiceRunner *find(const std::string &service);
    std::string stateAsJson();

    asio::io_context &context()
    {
        return context_;
    }

    /// Bytes for one read and the write that follows it. Not kept over a suspension.
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
    void takeReplacements();
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
    std::mutex producers_; ///< the ring has one producer at a time; the data thread never takes it
    Ring<std::function<void()>> ring_;
    std::atomic<bool> woken_{false};
    std::atomic<std::shared_ptr<const std::vector<Service>>> newServices_;
    std::atomic<std::shared_ptr<const View>> newView_;
    std::atomic<bool> drainAsked_{false};
    std::atomic<bool> drained_{false};
    bool draining_ = false;
    std::shared_ptr<const View> view_;
    std::vector<std::shared_ptr<ServiceRunner>> runners_;
    std::thread thread_;
};

} // namespace medlarway
