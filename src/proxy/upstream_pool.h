#pragma once

#include "catalogue/service.h"
#include "proxy/net.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarway
{

/// Idle connections to the upstreams of one service, reused for requests that may be retried.
class UpstreamPool
{
public:
    /// Takes an idle connection that is open and has no unread bytes; nullopt if there is none.
    std::optional<tcp::socket> take(const Endpoint &upstream);

    /// Returns a connection whose last response was complete; closes it if the pool for the upstream is full.
    void release(const Endpoint &upstream, tcp::socket socket, Time now);

    /// Closes connections that have exceeded the idle timeout.
    void sweep(Time now);

    /// Closes connections to upstreams that are not in the list or are draining.
    void retainOnly(const std::vector<Upstream> &upstreams);

    void clear();
    std::size_t size() const;

private:
    struct Idle {
        tcp::socket socket;
        Time since;
    };

    std::unordered_map<Endpoint, std::vector<Idle>> idle_;
};

} // namespace medlarway
