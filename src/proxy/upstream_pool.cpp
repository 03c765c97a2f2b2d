#include "proxy/upstream_pool.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <chrono>

namespace medlarway
{

namespace
{

constexpr std::size_t kMaxIdlePerUpstream = 64;
constexpr auto kIdleTimeout = std::chrono::seconds{10};

// An idle connection must have nothing to read. After end of file or unsolicited bytes no request
// may be sent on it.
bool isReusable(tcp::socket &socket)
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
        if (isReusable(socket)) {
            return socket;
        }
    }
    return std::nullopt;
}

void UpstreamPool::release(const Endpoint &upstream, tcp::socket socket, Time now)
{
    auto &idle = idle_[upstream];
    if (idle.size() < kMaxIdlePerUpstream) {
        idle.push_back(Idle{std::move(socket), now});
    }
}

void UpstreamPool::sweep(Time now)
{
    for (auto &[upstream, idle] : idle_) {
        std::erase_if(idle, [now](const Idle &entry) { return now - entry.since > kIdleTimeout; });
    }
    std::erase_if(idle_, [](const auto &entry) { return entry.second.empty(); });
}

void UpstreamPool::retainOnly(const std::vector<Upstream> &upstreams)
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
