#pragma once

#include "base/endpoint.h"
#include "base/time.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// The response to a GET request.
struct HttpResponse {
    unsigned status = 0;
    boost::beast::http::fields header;
    std::string body;
    bool bodyTooLarge = false; ///< the body exceeded kMaxBodyBytes and was not read
};

/// Limit of a response's body. A page of the platform's store holds at most about 1 MB of items, or one value of that size, and base64 adds
/// a third.
inline constexpr std::uint64_t kMaxBodyBytes = 4ULL << 20U;

/// An HTTP client that sends GET requests, one at a time, over a persistent connection. A request reconnects if the connection
/// was lost.
class HttpClient
{
public:
    HttpClient(boost::asio::io_context &context, const Endpoint &address);

    /// Requests a target. Returns nullopt if connecting exceeds connectTimeout, the exchange exceeds timeout, or either fails.
    /// The connection is then closed, since a late response would be taken for the response to the next request.
    boost::asio::awaitable<std::optional<HttpResponse>> get(std::string target, Duration timeout, Duration connectTimeout);

    /// Closes the connection and cancels pending operations on it.
    void close();

private:
    boost::asio::awaitable<bool> connect(Duration timeout);

    Endpoint address_;
    boost::beast::tcp_stream stream_;
    boost::beast::flat_buffer buffer_;
    bool connected_ = false;
};

} // namespace medlarway
