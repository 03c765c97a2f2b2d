#pragma once

#include "loop.h"

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lab
{

/// The entry hosts of a case: processes of the daemon that the deploy file starts, on loopback addresses, with settings as its template
/// gives them.
class Hosts
{
public:
    /// folder: a temporary folder for settings and logs.
    Hosts(Loop &loop, std::string program, std::string folder);
    ~Hosts(); ///< kills all that still run
    Hosts(const Hosts &) = delete;
    Hosts &operator=(const Hosts &) = delete;

    /// Adds a host of the zone; zones with equal numbers are the same. Returns its index.
    std::size_t add(const std::string &zone, const Address &store);

    /// The port at which clients receive packets; the same as the hosts'.
    std::uint16_t packetPort() const
    {
        return packetPort_;
    }

    void start(std::size_t host);
    void signal(std::size_t host, int number);

    /// Whether the process runs; collects one that has ended.
    bool runs(std::size_t host);

    /// How the process ended: its exit code, or minus the signal; nullopt while it runs.
    std::optional<int> ending(std::size_t host);

    Address packets(std::size_t host) const;
    Address ready(std::size_t host) const;
    Address control(std::size_t host) const;

    /// The body of a page of the host; empty without an answer of status 200 within the limit.
    std::string page(const Address &address, const std::string &path, Milliseconds limit);

    /// Waits until the host says that it is ready.
    bool awaitReady(std::size_t host, Milliseconds limit);

    /// Begins to ask every host twice a second whether it is ready, as the routers do; two misses take it out of rotation.
    void startProbes();

    /// The hosts in rotation.
    std::vector<std::size_t> rotation() const;

    std::size_t count() const
    {
        return hosts_.size();
    }

private:
    struct Host {
        std::string name;
        std::string zone;
        std::uint32_t ip = 0;
        Address store;
        pid_t process = -1;
        std::optional<int> ending;
        int misses = 0;
        bool inRotation = false;
    };

    void writeSettings(const Host &host) const;
    void probe(std::size_t host);
    void recordProbe(std::size_t host, bool good);

    Loop &loop_;
    std::string program_;
    std::string folder_;
    std::uint16_t packetPort_ = 0;
    std::uint16_t readyPort_ = 0;
    std::uint16_t controlPort_ = 0;
    std::uint16_t peersPort_ = 0;
    std::vector<Host> hosts_;
};

} // namespace lab
