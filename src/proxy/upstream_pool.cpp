#include "proxy/upstream_pool.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <chrono>

namespace medlarway
{

namespace
{

constexpr std::size_t kIdlePerUpstream = 64;
constexpr auto kIdleTime = std::chrono::seconds{10};

// An idle connection has nothing to read; an end or bytes nobody asked for both mean
// that no request may be sent on it.
bool isSilent(tcp::socket &socket)
{
    char byte = 0;
    ErrorCode error;
    socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    return isWouldBlock(error);
}

} // namespace

std::optional<tcp::socket> UpstreamPool::take(const Endpoint &upstream)
{
    const auto found = idle_.find(upstream);
    if (found == idle_.end()) {
        return std::nullopt;
    }
    auto &idle = found->second;
    while (!idle.empty()) {
        auto socket = std::move(idle.back().socket);
        idle.pop_back();
        if (isSilent(socket)) {
            return socket;
        }
    }
    return std::nullopt;
}

void UpstreamPool::give(const Endpoint &upstream, tcp::socket socket, Time now)
{
    auto &idle = idle_[upstream];
    if (idle.size() < kIdlePerUpstream) {
        idle.push_back(Idle{std::move(socket), now});
    }
}

void UpstreamPool::sweep(Time now)
{
    for (auto &[upstream, idle] : idle_) {
        std::erase_if(idle, [now](const Idle &entry) { return now - entry.since > kIdleTime; });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

void UpstreamPool::keepOnly(const std::vector<Upstream> &upstreams)
{
    std::erase_if(idle_, [&upstreams](const auto &entry) {
        return std::none_of(upstreams.begin(), upstreams.end(),
                            [&entry](const Upstream &upstream) { return upstream.address == entry.first && !upstream.draining; });
    });
}

void UpstreamPool::clear()
{
    idle_.clear();
}

std::size_t UpstreamPool::size() const
{
    std::size_t total = 0;
    for (const auto &[upstream, idle] : idle_) {
        total += idle.size();
    }
    return total;
}

} // namespace medlarway
