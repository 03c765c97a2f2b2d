#include "pages/http_client.h"

#include "base/completion.h"

#include <boost/beast/http.hpp>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace http = boost::beast::http;
using ErrorCode = boost::system::error_code;

constexpr std::uint32_t kMaxResponseHeadBytes = 8192;

} // namespace

HttpClient::HttpClient(asio::io_context &context, const Endpoint &address)
    : address_(address)
    , stream_(context)
{
}

asio::awaitable<bool> HttpClient::connect(Duration timeout)
{
    if (connected_) {
        co_return true;
    }
    buffer_.clear();
    stream_.expires_after(toSteady(timeout));
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(address_.address), address_.port);
    const auto [error] = co_await stream_.async_connect(endpoint, kWaitForCompletion);
    connected_ = !error;
    co_return connected_;
}

asio::awaitable<std::optional<HttpResponse>> HttpClient::get(std::string target, Duration timeout, Duration connectTimeout)
{
    if (!co_await connect(connectTimeout)) {
        close();
        co_return std::nullopt;
    }
    http::request<http::empty_body> request(http::verb::get, target, 11);
    request.set(http::field::host, endpointToString(address_));
    stream_.expires_after(toSteady(timeout));
    const auto [writeError, written] = co_await http::async_write(stream_, request, kWaitForCompletion);
    http::response_parser<http::string_body> parser;
    parser.header_limit(kMaxResponseHeadBytes);
    parser.body_limit(kMaxBodyBytes);
    ErrorCode error = writeError;
    if (!error) {
        const auto [readError, read] = co_await http::async_read(stream_, buffer_, parser, kWaitForCompletion);
        error = readError;
    }
    if (error || !parser.get().keep_alive()) {
        close();
    }
    const bool bodyTooLarge = error == http::error::body_limit;
    if (error && !bodyTooLarge) {
        co_return std::nullopt;
    }
    auto response = parser.release();
    co_return HttpResponse{response.result_int(), std::move(response.base()), bodyTooLarge ? "" : std::move(response.body()), bodyTooLarge};
}

void HttpClient::close()
{
    connected_ = false;
    stream_.close();
}

} // namespace medlarway
