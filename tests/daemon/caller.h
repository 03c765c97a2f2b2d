#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <string>

namespace medlarway
{

/// What came back to one HTTP request.
struct CallerAnswer {
    int status = 0; ///< 0 where no whole answer came back
    std::string outcome; ///< the header Medlarway-Outcome
    int retryAfterSeconds = 0; ///< the header Retry-After; 0 where there is none
    std::string body;
    std::string fault; ///< why there is no whole answer
};

/// Sends one request on a connection of its own and waits for the whole answer, at most some seconds.
CallerAnswer askHttp(const std::string &address, const std::string &target, const std::string &method = "GET", const std::string &body = {},
                     const std::string &key = {});

/// A feed: a TCP connection through a stream service. Throws boost::system::system_error where it breaks.
class CallerFeed
{
public:
    explicit CallerFeed(const std::string &address);

    /// Reads one line, without its end.
    std::string readLine();

    /// Sends a line and reads one back.
    std::string echo(const std::string &line);

private:
    boost::asio::io_context context_;
    boost::asio::ip::tcp::socket socket_;
    std::string buffer_;
};

/// A caller of datagrams from one port.
class CallerDatagrams
{
public:
    explicit CallerDatagrams(const std::string &address);

    /// Sends a datagram and waits for the answer; sends again up to ten times, as callers of datagrams must. Empty where none came.
    std::string exchange(const std::string &payload);

private:
    boost::asio::io_context context_;
    boost::asio::ip::udp::endpoint service_;
    boost::asio::ip::udp::socket socket_;
};

} // namespace medlarway
