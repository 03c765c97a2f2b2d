#pragma once

#include "packet.h"

#include <string>
#include <sys/types.h>
#include <vector>

namespace standin
{

/// What the platform tells an entry host.
struct HostSettings {
    std::string name;
    std::string zone;
    std::uint32_t ip = 0;
    std::uint16_t firstPort = 0; ///< packets, then ready, control and peers
    Address store;
    std::vector<Address> seeds;
};

/// An entry host: the project's daemon as a process, started as the deploy file does.
class HostProcess
{
public:
    HostProcess(std::string daemon, std::string folder, HostSettings settings);
    ~HostProcess(); ///< kills the process
    HostProcess(const HostProcess &) = delete;
    HostProcess &operator=(const HostProcess &) = delete;

    void start();

    /// Replaces the settings file; a process that runs gets no signal of it.
    void setSeeds(std::vector<Address> seeds);

    void signal(int number) const;

    /// Whether the process runs; status() tells how it ended.
    bool runs();

    int status() const
    {
        return status_;
    }

    const HostSettings &settings() const
    {
        return settings_;
    }

private:
    std::string daemon_;
    std::string folder_;
    HostSettings settings_;
    pid_t process_ = 0;
    int status_ = 0;
};

} // namespace standin
