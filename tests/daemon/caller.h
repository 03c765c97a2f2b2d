#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace medlarway
{

/// The result of one HTTP request.
struct HttpResponse {
    int status = 0; ///< 0 if no complete response was received
    std::string outcome; ///< value of the Medlarway-Outcome header
    int retryAfterSeconds = 0; ///< value of the Retry-After header; 0 if there is none
    std::string body;
    std::string error; ///< why there is no complete response
};

/// Sends one request on a new connection and waits for the complete response, with a timeout of 20 seconds per request.
HttpResponse httpRequest(const std::string &address, const std::string &target, const std::string &method = "GET",
                         const std::string &body = {}, const std::string &key = {});

/// A TCP connection through a stream service. Its functions throw boost::system::system_error if the connection fails.
class StreamCaller
{
public:
    explicit StreamCaller(const std::string &address);

    /// Reads one line and returns it without the newline.
    std::string readLine();

    /// Sends a line and returns the line that is read in response.
    std::string echo(const std::string &line);

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string buffer_;
};

/// Sends datagrams to a datagram service from one UDP port.
class DatagramCaller
{
public:
    explicit DatagramCaller(const std::string &address);

    /// Sends a datagram and waits for the response. Since datagrams may be lost, makes up to ten attempts. Returns an
    /// empty string if no response was received.
    std::string exchange(const std::string &payload);

private:
    boost::asio::io_context context_;
    boost::asio::ip::udp::endpoint service_;
    boost::asio::ip::udp::socket socket_;
};

} // namespace medlarway
