#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <optional>
#include <string>

namespace medlarway
{

/// An answer to a GET.
struct HttpReply {
    unsigned status = 0;
    std::string body;
};

/// One connection for GET requests, one at a time; made again when it is needed and was lost.
class HttpReader
{
public:
    HttpReader(boost::asio::io_context &context, const Endpoint &address);

    /// Asks for a target; nullopt where no answer came within the time, or no connection within its own. The connection is then
    /// given up: what comes late would be taken for the answer to the next request.
    boost::asio::awaitable<std::optional<HttpReply>> get(std::string target, Duration timeout, Duration connectTimeout);

    /// Ends the connection and what waits on it.
    void close();

private:
    boost::asio::awaitable<bool> connect(Duration timeout);

    Endpoint address_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    bool connected_ = false;
};

} // namespace medlarway
