#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace lab
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// An IPv4 address and a port.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

/// The address as "a.b.c.d:port".
std::string toText(const Address &address);

/// A loopback address of this process: 127.x.y.z, where x differs between processes that run at the same time and low gives y and z.
std::uint32_t loopback(std::uint32_t low);

/// A port that is free at the time of the call for both TCP and UDP at all of the addresses; 0 if there is none.
std::uint16_t findFreePort(const std::vector<std::uint32_t> &ips);

/// A non-blocking socket that is bound to the address, and listens if it is a TCP socket. Exits with code 2 on failure.
int bindUdp(const Address &address);
int listenTcp(const Address &address);

/// Waits for descriptors and timers on one thread.
class Loop
{
public:
    /// Calls the function whenever the descriptor can be read; replaces an earlier function.
    void onReadable(int descriptor, std::function<void()> function);
    void forget(int descriptor);

    /// Calls the function once at or after the time.
    void at(Time time, std::function<void()> function);
    void after(Milliseconds delay, std::function<void()> function);

    /// Runs until the condition holds or the time has passed. Returns whether the condition holds.
    bool runUntil(const std::function<bool()> &condition, Milliseconds limit);
    void runFor(Milliseconds duration);

private:
    void runOnce(Time limit);

    std::map<int, std::function<void()>> readers_;
    std::multimap<Time, std::function<void()>> timers_;
};

/// The record of a case: lines with the milliseconds since the start.
class Record
{
public:
    explicit Record(const std::string &path);
    ~Record();
    Record(const Record &) = delete;
    Record &operator=(const Record &) = delete;

    void line(const std::string &text);
    long long milliseconds(Time time) const;

private:
    std::FILE *file_ = nullptr;
    Time start_ = Clock::now();
};

/// Ends the process with the code for a case that could not run.
[[noreturn]] void giveUp(const std::string &reason);

} // namespace lab
