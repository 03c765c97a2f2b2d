#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/system/error_code.hpp>

namespace medlarway
{

namespace asio = boost::asio;
using tcp = asio::ip::tcp;
using udp = asio::ip::udp;
using ErrorCode = boost::system::error_code;

/// The current time of this host's monotonic clock.
Time currentTime();

/// Conversions between the project's endpoints and Asio's.
tcp::endpoint tcpEndpointOf(const Endpoint &endpoint);
udp::endpoint udpEndpointOf(const Endpoint &endpoint);
Endpoint endpointFrom(const tcp::endpoint &endpoint);
Endpoint endpointFrom(const udp::endpoint &endpoint);

/// The remote endpoint of a socket; zero if it is no longer connected.
Endpoint callerOf(const tcp::socket &socket);

/// Makes a socket non-blocking, disables Nagle's algorithm and enables keep-alive probes.
void prepareSocket(tcp::socket &socket);

/// Closes with a reset, so that the peer can't take truncated data for complete data.
void resetSocket(tcp::socket &socket);

/// Closes gracefully.
void closeSocket(tcp::socket &socket);

/// Whether the error only means that a non-blocking call would have blocked.
bool isWouldBlock(const ErrorCode &error);

} // namespace medlarway
