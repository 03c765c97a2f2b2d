#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace review
{

using Clock = std::chrono::steady_clock;
using Time = Clock::time_point;
using Millis = std::chrono::milliseconds;

/// A single-threaded loop over descriptors and timers. All stand-ins of a case run in it.
class Loop
{
public:
    /// Calls the function whenever one of the poll events occurs on the descriptor.
    void watch(int descriptor, short events, std::function<void(short)> function);
    void unwatch(int descriptor);

    /// Calls the function once, at or after the time.
    void at(Time time, std::function<void()> function);
    void after(Millis delay, std::function<void()> function)
    {
        at(Clock::now() + delay, std::move(function));
    }

    void runUntil(Time end);
    void runFor(Millis duration)
    {
        runUntil(Clock::now() + duration);
    }

    /// Runs until the condition holds; false if it does not within the limit.
    bool runUntil(const std::function<bool()> &condition, Millis limit);

private:
    struct Watch {
        short events = 0;
        std::function<void(short)> function;
        std::uint64_t number = 0;
    };

    void runOnce(Time latest);

    std::map<int, Watch> watches_;
    std::multimap<Time, std::function<void()>> timers_;
    std::uint64_t nextNumber_ = 1;
};

/// An IPv4 address and port, in host byte order.
struct Address {
    std::uint32_t ip = 0;
    std::uint16_t port = 0;

    friend auto operator<=>(const Address &, const Address &) = default;
};

std::string toText(const Address &address);
std::string ipText(std::uint32_t ip);

/// Milliseconds of the time of day.
std::int64_t unixMillis();

/// Non-blocking sockets bound to an address; a port of 0 is replaced by the one that was taken. Throw std::runtime_error.
int bindDatagrams(Address &address);
int bindListener(Address &address);

/// Whether datagram and stream sockets can be bound to the address.
bool isFree(Address address);

/// The next datagram and its sender; false if there is none.
bool receiveDatagram(int descriptor, std::string &bytes, Address &from);

void sendDatagram(int descriptor, const Address &to, const std::string &bytes);

} // namespace review
