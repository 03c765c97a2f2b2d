#include "loop.h"

#include <arpa/inet.h>
#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace review
{

namespace
{

constexpr int kBacklog = 64;
constexpr int kSocketBufferBytes = 1 << 20;

sockaddr_in toSocketAddress(const Address &address)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(address.port);
    result.sin_addr.s_addr = htonl(address.ip);
    return result;
}

int bindSocket(Address &address, int type)
{
    const int descriptor = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0) {
        throw std::runtime_error("no socket");
    }
    const int on = 1;
    if (type == SOCK_STREAM) {
        ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    } else {
        ::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kSocketBufferBytes, sizeof kSocketBufferBytes);
    }
    auto wanted = toSocketAddress(address);
    socklen_t size = sizeof wanted;
    if (::bind(descriptor, reinterpret_cast<sockaddr *>(&wanted), size) != 0
        || ::getsockname(descriptor, reinterpret_cast<sockaddr *>(&wanted), &size) != 0) {
        ::close(descriptor);
        throw std::runtime_error("can't bind " + toText(address) + ": " + std::strerror(errno));
    }
    address.port = ntohs(wanted.sin_port);
    return descriptor;
}

} // namespace

void Loop::watch(int descriptor, short events, std::function<void(short)> function)
{
    watches_[descriptor] = Watch{events, std::move(function), nextNumber_++};
}

void Loop::unwatch(int descriptor)
{
    watches_.erase(descriptor);
}

void Loop::at(Time time, std::function<void()> function)
{
    timers_.emplace(time, std::move(function));
}

void Loop::runUntil(Time end)
{
    while (Clock::now() < end) {
        runOnce(end);
    }
}

bool Loop::runUntil(const std::function<bool()> &condition, Millis limit)
{
    const auto end = Clock::now() + limit;
    while (!condition()) {
        if (Clock::now() >= end) {
            return false;
        }
        runOnce(std::min(end, Clock::now() + Millis{5}));
    }
    return true;
}

void Loop::runOnce(Time latest)
{
    const auto wake = timers_.empty() ? latest : std::min(latest, timers_.begin()->first);
    const auto wait = std::chrono::ceil<Millis>(wake - Clock::now()).count();
    std::vector<pollfd> ready;
    std::vector<std::uint64_t> numbers;
    for (const auto &[descriptor, watch] : watches_) {
        ready.push_back({descriptor, watch.events, 0});
        numbers.push_back(watch.number);
    }
    ::poll(ready.data(), ready.size(), static_cast<int>(std::max<std::int64_t>(0, wait)));
    for (std::size_t row = 0; row < ready.size(); ++row) {
        const auto found = watches_.find(ready[row].fd);
        if (ready[row].revents != 0 && found != watches_.end() && found->second.number == numbers[row]) {
            const auto function = found->second.function; // the callback may remove the watch
            function(ready[row].revents);
        }
    }
    while (!timers_.empty() && timers_.begin()->first <= Clock::now()) {
        const auto function = std::move(timers_.begin()->second);
        timers_.erase(timers_.begin());
        function();
    }
}

std::string ipText(std::uint32_t ip)
{
    return std::to_string(ip >> 24U) + "." + std::to_string((ip >> 16U) & 255U) + "." + std::to_string((ip >> 8U) & 255U) + "."
           + std::to_string(ip & 255U);
}

std::string toText(const Address &address)
{
    return ipText(address.ip) + ":" + std::to_string(address.port);
}

std::int64_t unixMillis()
{
    return std::chrono::duration_cast<Millis>(std::chrono::system_clock::now().time_since_epoch()).count();
}

int bindDatagrams(Address &address)
{
    return bindSocket(address, SOCK_DGRAM);
}

int bindListener(Address &address)
{
    const int descriptor = bindSocket(address, SOCK_STREAM);
    if (::listen(descriptor, kBacklog) != 0) {
        ::close(descriptor);
        throw std::runtime_error("can't listen at " + toText(address));
    }
    return descriptor;
}

bool isFree(Address address)
{
    try {
        ::close(bindDatagrams(address));
        ::close(bindListener(address));
        return true;
    } catch (const std::runtime_error &) {
        return false;
    }
}

bool receiveDatagram(int descriptor, std::string &bytes, Address &from)
{
    char buffer[2048];
    sockaddr_in address{};
    socklen_t length = sizeof address;
    const auto size = ::recvfrom(descriptor, buffer, sizeof buffer, MSG_DONTWAIT, reinterpret_cast<sockaddr *>(&address), &length);
    if (size < 0) {
        return false;
    }
    bytes.assign(buffer, static_cast<std::size_t>(size));
    from = {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
    return true;
}

void sendDatagram(int descriptor, const Address &to, const std::string &bytes)
{
    const auto address = toSocketAddress(to);
    ::sendto(descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr *>(&address), sizeof address);
}

} // namespace review
