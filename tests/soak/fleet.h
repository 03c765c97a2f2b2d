#pragma once

#include "daemon/daemon_process.h"
#include "pages/http_client.h"
#include "soak/faults.h"
#include "soak/invariant_checker.h"
#include "soak/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlarway::soak
{

/// The hosts, which are real processes, and the routers in front of them, which probe the readiness of the hosts and skip those that fail.
class SoakFleet
{
public:
    SoakFleet(const SoakOptions &options, SoakPlatform &platform, InvariantChecker &checker);

    /// Kills a host, or stops it gracefully; update() restarts it. Ignored if the state of the host does not allow it, e.g. if it is down.
    void kill(int host);
    void stop(int host);

    /// Stops a host gracefully and starts its next process beside it. Returns that process, or null if the host does not stop.
    std::shared_ptr<DaemonProcess> handOver(int host);

    /// Kills a host and starts it again at once, with or without a file of its settings.
    void relaunch(int host, bool withSettings);

    /// Tells that something else sends SIGTERM to a host.
    void expectStop(int host);
    void pause(int host);
    void resume(int host);

    bool isStopping(int host) const
    {
        return at(host).phase == Phase::Stopping;
    }

    std::shared_ptr<DaemonProcess> process(int host) const
    {
        return at(host).process;
    }

    std::string settings(int host);

    /// Checks that no host refused its settings, which are never wrong once they are complete.
    void checkSettings(int host);

    /// Restarts hosts that are due, and checks the exit of those that were stopped. Must be called frequently.
    void update();

    /// The host to which a router of the zone currently sends the packets of a flow.
    Endpoint hostOf(const std::string &zone, std::uint64_t flow) const;

    /// Whether every host is ready.
    bool allReady() const;

private:
    enum class Phase : std::uint8_t {
        Down,
        Running,
        Stopping,
    };

    struct Host {
        std::string address;
        std::shared_ptr<DaemonProcess> process;
        std::shared_ptr<DaemonProcess> next; ///< started beside the process, which is stopping
        Phase phase = Phase::Down;
        int starts = 0; ///< changes whenever another process may respond
        Time since; ///< start of the phase
        bool paused = false;
        bool disturbed = false; ///< was stopped or killed, and is not ready yet
        bool failing = false; ///< disturbed by a failure, not by planned work
        std::uint32_t failedProbes = 2; ///< consecutive failed readiness probes
    };

    Host &at(int host)
    {
        return hosts_[static_cast<std::size_t>(host)];
    }

    const Host &at(int host) const
    {
        return hosts_[static_cast<std::size_t>(host)];
    }

    std::shared_ptr<DaemonProcess> launch(int host, bool withSettings = true);
    void adopt(int host, std::shared_ptr<DaemonProcess> process);
    bool hasNext(int host) const;
    void markDisturbed(Host &entry, int host, bool failure);
    void markServing(Host &entry, int host);
    boost::asio::awaitable<void> probeReadiness(int host);
    boost::asio::awaitable<void> watchConfig(int host);
    void checkConfig(int host, int starts, std::uint64_t version, std::uint64_t &lastVersion, int &lastStarts);

    SoakOptions options_;
    SoakPlatform &platform_;
    InvariantChecker &checker_;
    mutable std::mutex mutex_;
    std::vector<Host> hosts_;
};

} // namespace medlarway::soak
