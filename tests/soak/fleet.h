#pragma once

#include "daemon/daemon_process.h"
#include "pages/http_client.h"
#include "soak/faults.h"
#include "soak/judge.h"
#include "soak/platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace medlarway::soak
{

/// The hosts, real processes, and the routers before them: who is asked whether it takes packets, and who is passed over.
class SoakFleet
{
public:
    SoakFleet(const SoakOptions &options, SoakPlatform &platform, Judge &judge);

    /// Kills a host, or stops it as planned; it starts again. What is done to a host that is down or stops is left out.
    void kill(int host);
    void stop(int host);
    void pause(int host);
    void resume(int host);
    void reload(int host);

    /// Looks after the processes: starts those that are due, sees how those end that were stopped. Call it often.
    void tend();

    /// Where a router of the zone sends the packets of a flow now.
    Endpoint hostOf(const std::string &zone, std::uint64_t flow) const;

    /// Whether every host takes packets.
    bool allReady() const;

private:
    enum class Phase : std::uint8_t {
        Down,
        Runs,
        Stops,
    };

    struct Host {
        std::string address;
        std::unique_ptr<DaemonProcess> process;
        Phase phase = Phase::Down;
        int starts = 0;
        Time since; ///< of the phase
        bool paused = false;
        bool disturbed = false; ///< it has stopped, or been killed, and does not serve yet
        bool failing = false; ///< the same, but for planned work
        std::uint32_t misses = 2; ///< of the routers' questions, in a row
    };

    Host &at(int host)
    {
        return hosts_[static_cast<std::size_t>(host)];
    }

    const Host &at(int host) const
    {
        return hosts_[static_cast<std::size_t>(host)];
    }

    void start(int host);
    void disturb(Host &entry, int host, bool failure);
    void serves(Host &entry, int host);
    boost::asio::awaitable<void> askReady(int host);
    boost::asio::awaitable<void> watchConfig(int host);
    void judgeConfig(int host, int starts, std::uint64_t version, std::uint64_t &highest, int &highestOf);

    SoakOptions options_;
    SoakPlatform &platform_;
    Judge &judge_;
    mutable std::mutex mutex_;
    std::vector<Host> hosts_;
};

} // namespace medlarway::soak
