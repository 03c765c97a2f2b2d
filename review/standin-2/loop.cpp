#include "loop.h"

#include <arpa/inet.h>
#include <cstdio>
#include <cstdlib>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace lab
{

namespace
{

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_addr.s_addr = htonl(address.ip);
    result.sin_port = htons(address.port);
    return result;
}

int bindSocket(int type, const Address &address)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    }
    const auto name = toSocketAddress(address);
    if (descriptor < 0 || ::bind(descriptor, reinterpret_cast<const sockaddr *>(&name), sizeof(name)) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool isFree(int type, const Address &address)
{
    const int descriptor = bindSocket(type, address);
    if (descriptor >= 0) {
        ::close(descriptor);
    }
    return descriptor >= 0;
}

} // namespace

void giveUp(const std::string &reason)
{
    throw std::runtime_error(reason);
}

std::string toText(const Address &address)
{
    const auto octet = [&](unsigned shift) { return std::to_string((address.ip >> shift) & 255U); };
    return octet(24) + "." + octet(16) + "." + octet(8) + "." + octet(0) + ":" + std::to_string(address.port);
}

std::uint32_t loopback(std::uint32_t low)
{
    constexpr std::uint32_t kBlocks = 250;
    return 0x7f000000 | ((1 + static_cast<std::uint32_t>(::getpid()) % kBlocks) << 16U) | low;
}

std::uint16_t findFreePort(const std::vector<std::uint32_t> &ips)
{
    constexpr std::uint16_t kFirst = 20000;
    constexpr std::uint16_t kLast = 29000;
    static std::uint16_t next = static_cast<std::uint16_t>(kFirst + ::getpid() % 5000);
    for (int attempt = 0; attempt < kLast - kFirst; ++attempt) {
        next = static_cast<std::uint16_t>(next >= kLast ? kFirst : next + 1);
        bool free = true;
        for (const auto ip : ips) {
            free = free && isFree(SOCK_STREAM, {ip, next}) && isFree(SOCK_DGRAM, {ip, next});
        }
        if (free) {
            return next;
        }
    }
    return 0;
}

int bindUdp(const Address &address)
{
    const int descriptor = bindSocket(SOCK_DGRAM, address);
    if (descriptor < 0) {
        giveUp("can't bind " + toText(address));
    }
    const int size = 1 << 20;
    ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
    return descriptor;
}

int listenTcp(const Address &address)
{
    const int descriptor = bindSocket(SOCK_STREAM, address);
    if (descriptor < 0 || ::listen(descriptor, SOMAXCONN) != 0) {
        giveUp("can't listen at " + toText(address));
    }
    return descriptor;
}

void Loop::onReadable(int descriptor, std::function<void()> function)
{
    readers_[descriptor] = std::move(function);
}

void Loop::forget(int descriptor)
{
    readers_.erase(descriptor);
}

void Loop::at(Time time, std::function<void()> function)
{
    timers_.emplace(time, std::move(function));
}

void Loop::after(Milliseconds delay, std::function<void()> function)
{
    at(Clock::now() + delay, std::move(function));
}

void Loop::runOnce(Time limit)
{
    auto until = limit;
    if (!timers_.empty() && timers_.begin()->first < until) {
        until = timers_.begin()->first;
    }
    std::vector<pollfd> descriptors;
    descriptors.reserve(readers_.size());
    for (const auto &[descriptor, function] : readers_) {
        descriptors.push_back({descriptor, POLLIN, 0});
    }
    const auto wait = std::chrono::ceil<Milliseconds>(until - Clock::now()).count();
    ::poll(descriptors.data(), descriptors.size(), wait > 0 ? static_cast<int>(wait) : 0);
    for (const auto &entry : descriptors) {
        const auto found = readers_.find(entry.fd);
        if (entry.revents != 0 && found != readers_.end()) {
            const auto function = found->second; // it may forget itself
            function();
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= Clock::now()) {
        const auto function = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        function();
    }
}

bool Loop::runUntil(const std::function<bool()> &condition, Milliseconds limit)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= end) {
            return false;
        }
        runOnce(end);
    }
    return true;
}

void Loop::runFor(Milliseconds duration)
{
    runUntil([] { return false; }, duration);
}

Record::Record(const std::string &path)
    : file_(std::fopen(path.c_str(), "w"))
{
    if (file_ == nullptr) {
        giveUp("can't write " + path);
    }
}

Record::~Record()
{
    std::fclose(file_);
}

void Record::line(const std::string &text)
{
    std::fprintf(file_, "%8lld ms  %s\n", milliseconds(Clock::now()), text.c_str());
    std::fflush(file_);
}

long long Record::milliseconds(Time time) const
{
    return std::chrono::duration_cast<Milliseconds>(time - start_).count();
}

} // namespace lab
