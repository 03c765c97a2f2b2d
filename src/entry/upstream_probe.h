#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace medlarway
{

/// Checks whether a connection to an upstream can be made. No request is sent on it: an upstream's own health report may be wrong, and a
/// response would take one of its slots.
class UpstreamProber
{
public:
    using Done = std::function<void(bool reachable)>;

    explicit UpstreamProber(boost::asio::io_context &context);

    /// Tries to connect up to twice. done is called on the thread that runs the context. An upstream counts as reachable if this host lacks
    /// what it needs to connect, such as descriptors.
    void probe(const Endpoint &address, Done done);

private:
    boost::asio::awaitable<void> run(Endpoint address, Done done);

    boost::asio::io_context &context_;
};

/// Time limit for a connection attempt: many times the latency between zones.
inline constexpr std::chrono::milliseconds kProbeTimeout{150};

} // namespace medlarway
