#include "proxy/net.h"

#include <boost/asio/error.hpp>
#include <boost/asio/socket_base.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace medlarway
{

namespace
{

constexpr int kKeepAliveIdleSeconds = 60;
constexpr int kKeepAliveIntervalSeconds = 15;
constexpr int kKeepAliveProbes = 4;

void setOption(int socket, int option, int value)
{
    // Setting options fails on a socket whose peer has disconnected; the next read reports that.
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, option, &value, sizeof(value)));
}

} // namespace

Time currentTime()
{
    return std::chrono::steady_clock::now();
}

tcp::endpoint tcpEndpointOf(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

udp::endpoint udpEndpointOf(const Endpoint &endpoint)
{
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

Endpoint endpointFrom(const tcp::endpoint &endpoint)
{
    return Endpoint{endpoint.address().to_v4().to_uint(), endpoint.port()};
}

Endpoint endpointFrom(const udp::endpoint &endpoint)
{
    return Endpoint{endpoint.address().to_v4().to_uint(), endpoint.port()};
}

Endpoint callerOf(const tcp::socket &socket)
{
    ErrorCode error;
    const auto remote = socket.remote_endpoint(error);
    return error ? Endpoint{} : endpointFrom(remote);
}

void prepareSocket(tcp::socket &socket)
{
    ErrorCode error;
    socket.non_blocking(true, error);
    socket.set_option(tcp::no_delay(true), error);
    socket.set_option(asio::socket_base::keep_alive(true), error);
    setOption(socket.native_handle(), TCP_KEEPIDLE, kKeepAliveIdleSeconds);
    setOption(socket.native_handle(), TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
    setOption(socket.native_handle(), TCP_KEEPCNT, kKeepAliveProbes);
}

void resetSocket(tcp::socket &socket)
{
    if (!socket.is_open()) {
        return;
    }
    ErrorCode error;
    socket.set_option(asio::socket_base::linger(true, 0), error);
    socket.close(error);
}

void closeSocket(tcp::socket &socket)
{
    ErrorCode error;
    socket.close(error);
}

bool isWouldBlock(const ErrorCode &error)
{
    return error == asio::error::would_block || error == asio::error::try_again;
}

} // namespace medlarway
