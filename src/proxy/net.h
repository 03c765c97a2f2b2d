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

/// The moment of this host's monotonic clock.
Time currentTime();

/// Conversions between the project's endpoints and Asio's.
tcp::endpoint tcpEndpointOf(const Endpoint &endpoint);
udp::endpoint udpEndpointOf(const Endpoint &endpoint);
Endpoint endpointFrom(const tcp::endpoint &endpoint);
Endpoint endpointFrom(const udp::endpoint &endpoint);

/// The far end of a socket; zero where it is gone.
Endpoint callerOf(const tcp::socket &socket);

/// Sets what every connection has: no delay, non-blocking, probes that find dead peers.
void prepareSocket(tcp::socket &socket);

/// Closes so that the peer sees a reset and can't take what it got for the whole.
void resetSocket(tcp::socket &socket);

/// Closes in order.
void closeSocket(tcp::socket &socket);

/// Whether the error of a non-blocking call only means "not now".
bool isWouldBlock(const ErrorCode &error);

} // namespace medlarway
