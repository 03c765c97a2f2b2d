#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace medlarway
{

/// A loopback address that no other test process uses, one for each number from 1 to 250.
std::string loopbackAddress(int number);

/// A real medlarwayd process with a folder of its own. Killed, if it still runs, and its folder removed at the end.
class DaemonProcess
{
public:
    /// Writes the files and starts the process; settings.yaml stands beside catalogue.yaml in the folder.
    DaemonProcess(const std::string &settings, const std::string &catalogue);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Replaces a file of the folder as a whole, by a rename.
    void write(const std::string &file, const std::string &text) const;

    /// Waits until /readyz at the operators' address says so; false where it doesn't in time.
    bool waitReady(const std::string &operatorAddress, std::chrono::seconds limit = std::chrono::seconds{10}) const;

    void signal(int number) const;

    /// The exit code, or minus the signal's number; nullopt where it still runs after the limit.
    std::optional<int> waitExit(std::chrono::seconds limit = std::chrono::seconds{10});

    /// What it logged so far.
    std::string log() const;

    /// The last lines of it, for a check that failed.
    std::string endOfLog() const;

    const std::string &folder() const
    {
        return folder_;
    }

private:
    std::string folder_;
    pid_t process_ = -1;
    std::optional<int> exitCode_;
};

/// Waits until the condition holds; false where it doesn't within the limit.
template<class Condition>
bool waitUntil(Condition condition, std::chrono::seconds limit = std::chrono::seconds{10});

void pauseBriefly();

template<class Condition>
bool waitUntil(Condition condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        pauseBriefly();
    }
    return true;
}

} // namespace medlarway
