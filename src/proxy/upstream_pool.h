#pragma once

#include "catalogue/service.h"
#include "proxy/net.h"

#include <cstddef>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarway
{

/// Idle connections to the upstreams of one service, for requests that may be sent again.
class UpstreamPool
{
public:
    /// An idle connection that is open and silent; nullopt where there is none.
    std::optional<tcp::socket> take(const Endpoint &upstream);

    /// Keeps a connection whose last answer was whole; closes it where there are enough.
    void give(const Endpoint &upstream, tcp::socket socket, Time now);

    /// Closes connections that were idle for long.
    void sweep(Time now);

    /// Closes connections to upstreams that take no new work.
    void keepOnly(const std::vector<Upstream> &upstreams);

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
