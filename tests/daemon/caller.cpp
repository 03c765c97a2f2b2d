#include "daemon/caller.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <chrono>
#include <limits>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using asio::ip::udp;

constexpr std::chrono::seconds kResponseTimeout{20};
constexpr std::chrono::milliseconds kDatagramTimeout{300};
constexpr int kMaxDatagramAttempts = 10;

template<class Protocol>
typename Protocol::endpoint endpointAt(const std::string &address)
{
    const auto endpoint = parseEndpoint(address).value();
    return {asio::ip::address_v4(endpoint.address), endpoint.port};
}

} // namespace

HttpResponse httpRequest(const std::string &address, const std::string &target, const std::string &method, const std::string &body,
                         const std::string &key)
{
    asio::io_context context;
    beast::tcp_stream stream(context);
    http::request<http::string_body> request;
    request.method_string(method);
    request.target(target);
    request.version(11);
    request.set(http::field::host, address);
    request.set(http::field::connection, "close");
    if (!key.empty()) {
        request.set("Idempotency-Key", key);
    }
    request.body() = body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    HttpResponse response;
    const auto failed = [&response](const beast::error_code &error, const char *step) {
        if (error) {
            response.error = std::string(step) + ": " + error.message();
        }
        return static_cast<bool>(error);
    };
    stream.expires_after(kResponseTimeout);
    stream.async_connect(endpointAt<tcp>(address), [&](const auto &connectError) {
        if (failed(connectError, "connect")) {
            return;
        }
        http::async_write(stream, request, [&](const auto &writeError, std::size_t) {
            if (failed(writeError, "write")) {
                return;
            }
            http::async_read(stream, buffer, parser, [&](const auto &readError, std::size_t) {
                if (!failed(readError, "read")) {
                    response.status = static_cast<int>(parser.get().result_int());
                    response.outcome = std::string(parser.get()["Medlarway-Outcome"]);
                    const auto retryAfter = parser.get()[http::field::retry_after];
                    std::from_chars(retryAfter.data(), retryAfter.data() + retryAfter.size(), response.retryAfterSeconds);
                    response.body = parser.get().body();
                }
            });
        });
    });
    context.run();
    return response;
}

StreamCaller::StreamCaller(const std::string &address)
    : socket_(context_)
{
    socket_.connect(endpointAt<tcp>(address));
    socket_.set_option(tcp::no_delay(true));
}

std::string StreamCaller::readLine()
{
    const auto length = asio::read_until(socket_, asio::dynamic_buffer(buffer_), '\n');
    auto line = buffer_.substr(0, length - 1);
    buffer_.erase(0, length);
    return line;
}

std::string StreamCaller::echo(const std::string &line)
{
    asio::write(socket_, asio::buffer(line + "\n"));
    return readLine();
}

DatagramCaller::DatagramCaller(const std::string &address)
    : service_(endpointAt<udp>(address))
    , socket_(context_, udp::v4())
{
}

std::string DatagramCaller::exchange(const std::string &payload)
{
    std::array<char, 65536> buffer{};
    for (int attempt = 0; attempt < kMaxDatagramAttempts; ++attempt) {
        socket_.send_to(asio::buffer(payload), service_);
        std::string response;
        udp::endpoint sender;
        socket_.async_receive_from(asio::buffer(buffer), sender, [&](const auto &error, std::size_t bytes) {
            if (!error && sender == service_) {
                response.assign(buffer.data(), bytes);
            }
        });
        context_.restart();
        context_.run_for(kDatagramTimeout);
        if (!response.empty()) {
            return response;
        }
        socket_.cancel();
        context_.restart();
        context_.run();
    }
    return {};
}

} // namespace medlarway
