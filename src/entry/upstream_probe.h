#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace medlarway
{

/// Finds out whether a connection to an upstream can be made. Nothing is asked on it: what an upstream says of its
/// health may be wrong, and an answer would take one of its slots.
class UpstreamProber
{
public:
    using Done = std::function<void(bool reachable)>;

    explicit UpstreamProber(boost::asio::io_context &context);

    /// Tries twice, the second time a moment after the first; done is called from the context.
    void probe(const Endpoint &address, Done done);

private:
    boost::asio::awaitable<void> run(Endpoint address, Done done);

    boost::asio::io_context &context_;
};

/// How long one try may take: many times the delay between zones.
inline constexpr std::chrono::milliseconds kProbeTimeout{150};

} // namespace medlarway
