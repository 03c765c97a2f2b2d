#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace medlarway
{

/// A loopback address that no other test process uses, one for each number from 1 to 250.
std::string loopbackAddress(int number);

/// A temporary folder with the files of a process, which the destructor removes.
class DaemonFolder
{
public:
    DaemonFolder();
    ~DaemonFolder();
    DaemonFolder(const DaemonFolder &) = delete;
    DaemonFolder &operator=(const DaemonFolder &) = delete;

    /// Replaces a file atomically, by a rename.
    void write(const std::string &file, const std::string &text) const;

    /// Truncates a file and writes its lines one by one. Returns the longest time between two lines.
    std::chrono::steady_clock::duration writeInPlace(const std::string &file, const std::string &text,
                                                     std::chrono::milliseconds pauseAfterLine) const;

    const std::string &path() const
    {
        return path_;
    }

private:
    std::string path_;
};

/// A real medlarwayd process with a temporary folder. The destructor kills the process if it still runs. Thread-safe.
class DaemonProcess
{
public:
    /// Writes settings.yaml and catalogue.yaml to a folder and starts the process.
    DaemonProcess(const std::string &settings, const std::string &catalogue);

    /// Starts the process with the settings.yaml that the folder has or will have.
    explicit DaemonProcess(std::shared_ptr<const DaemonFolder> folder);
    ~DaemonProcess();
    DaemonProcess(const DaemonProcess &) = delete;
    DaemonProcess &operator=(const DaemonProcess &) = delete;

    /// Replaces a file of the folder atomically, by a rename.
    void write(const std::string &file, const std::string &text) const
    {
        folder_->write(file, text);
    }

    /// Truncates a file of the folder and writes its lines one by one.
    void writeInPlace(const std::string &file, const std::string &text, std::chrono::milliseconds pauseAfterLine) const
    {
        folder_->writeInPlace(file, text, pauseAfterLine);
    }

    /// Waits until /readyz at the operator address responds with "ready"; false after the time limit.
    bool waitReady(const std::string &operatorAddress, std::chrono::seconds limit = std::chrono::seconds{10}) const;

    void signal(int number) const;

    /// Waits for the process to exit. Returns the exit code, or the negative number of the signal that killed it;
    /// nullopt if it still runs after the time limit.
    std::optional<int> waitExit(std::chrono::seconds limit = std::chrono::seconds{10});

    /// Whether the process has logged its first line. It catches signals from then on.
    bool hasLogged() const;

    /// Everything that the process has logged so far.
    std::string log() const;

    /// The last 1500 bytes of the log, for the message of a failed check.
    std::string logTail() const;

    const std::string &folder() const
    {
        return folder_->path();
    }

private:
    std::shared_ptr<const DaemonFolder> folder_;
    pid_t process_ = -1;
    mutable std::mutex mutex_; ///< guards exitCode_, so that no signal is sent to the id of a process that was reaped
    std::optional<int> exitCode_;
};

/// Polls until the condition holds; false if it doesn't within the time limit.
template<class Condition>
bool waitUntil(Condition condition, std::chrono::seconds limit = std::chrono::seconds{10});

/// Sleeps for the interval between two polls of waitUntil().
void sleepPollInterval();

template<class Condition>
bool waitUntil(Condition condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        sleepPollInterval();
    }
    return true;
}

} // namespace medlarway
