#pragma once

#include "base/time.h"
#include "daemon/daemon_process.h"
#include "soak/faults.h"
#include "soak/fleet.h"
#include "soak/invariant_checker.h"

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

namespace medlarway::soak
{

/// Restarts, signals and configures hosts as a supervisor of processes does. What takes time runs in threads, which the destructor awaits.
class Supervisor
{
public:
    Supervisor(SoakFleet &fleet, InvariantChecker &checker)
        : fleet_(fleet)
        , checker_(checker)
    {
    }

    /// Starts the work of a fault of the supervisor.
    void act(const Fault &fault, int host);

    /// Sends SIGHUP to a host.
    void reload(int host);

    /// Whether no work is in progress.
    bool idle() const
    {
        return running_ == 0;
    }

private:
    using Process = std::shared_ptr<DaemonProcess>;

    struct PlannedSignal {
        Duration after{}; ///< after the signal before; the first one after the first line of the log
        int number = 0;
    };

    void run(std::function<void()> work);
    void signal(int host, const Process &process, const std::vector<PlannedSignal> &signals);
    void rewriteSettings(const Process &process, const std::string &text);
    void throttle(int host, const Process &process, Duration duration);

    SoakFleet &fleet_;
    InvariantChecker &checker_;
    std::mutex rewriteMutex_; ///< a file has one writer at a time
    std::atomic<int> running_{0};
    std::vector<std::jthread> threads_;
};

} // namespace medlarway::soak
