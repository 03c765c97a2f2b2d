#include "ctl/operator_client.h"

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

constexpr std::chrono::seconds kTimeout{10};
constexpr std::uint64_t kMaxResponseBytes = 64ULL << 20U;

// One HTTP exchange: connect, write and read, each started when the previous step completes.
struct Exchange {
    explicit Exchange(asio::io_context &context)
        : stream(context)
    {
        parser.body_limit(kMaxResponseBytes);
    }

    void run(const asio::ip::tcp::endpoint &endpoint)
    {
        stream.expires_after(kTimeout);
        stream.async_connect(endpoint, [this](const auto &error) {
            if (!failed(error)) {
                http::async_write(stream, request, [this](const auto &writeError, std::size_t) {
                    if (!failed(writeError)) {
                        http::async_read(stream, buffer, parser, [this](const auto &readError, std::size_t) { failed(readError); });
                    }
                });
            }
        });
    }

    bool failed(const beast::error_code &error)
    {
        result = error;
        return static_cast<bool>(error);
    }

    beast::tcp_stream stream;
    http::request<http::empty_body> request;
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    beast::error_code result; ///< of the last completed step
};

} // namespace

std::optional<std::string> fetchPage(const std::string &address, const std::string &target)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        fmt::print(stderr, "'{}' is not an address like 127.0.0.1:9900\n", address);
        return std::nullopt;
    }
    asio::io_context context;
    Exchange exchange(context);
    exchange.request = {http::verb::get, target, 11};
    exchange.request.set(http::field::host, address);
    exchange.request.set(http::field::connection, "close");
    exchange.run({asio::ip::address_v4(endpoint->address), endpoint->port});
    context.run();
    if (exchange.result) {
        fmt::print(stderr, "{}: {}\n", address, exchange.result.message());
        return std::nullopt;
    }
    const auto &response = exchange.parser.get();
    if (response.result() != http::status::ok) {
        const auto &body = response.body();
        fmt::print(stderr, "{}: status {}: {}{}", address, response.result_int(), body, body.ends_with('\n') ? "" : "\n");
        return std::nullopt;
    }
    return response.body();
}

} // namespace medlarway
