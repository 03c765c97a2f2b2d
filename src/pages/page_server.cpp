#include "pages/page_server.h"

#include "base/completion.h"
#include "base/contained.h"
#include "base/errors.h"
#include "base/version.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;
using ErrorCode = boost::system::error_code;

constexpr int kMaxConnections = 64;
constexpr std::uint32_t kMaxRequestHeadBytes = 8192;
constexpr std::chrono::seconds kConnectionTimeout{10};
constexpr std::chrono::milliseconds kAcceptRetryDelay{100};

// An exception in a page becomes a 500 response, so that the connection and the thread survive it.
PageResponse callHandler(const PageHandler &handler, const std::string &target)
{
    PageResponse response{500, "text/plain; charset=utf-8", "internal fault\n"};
    contain("page", [&] { response = handler(target); });
    return response;
}

http::response<http::string_body> makeResponse(const http::request<http::empty_body> &request, const PageHandler &handler)
{
    http::response<http::string_body> response;
    response.version(request.version());
    response.keep_alive(request.keep_alive());
    response.set(http::field::server, std::string(kVersion));
    if (request.method() != http::verb::get && request.method() != http::verb::head) {
        response.result(http::status::method_not_allowed);
        response.set(http::field::allow, "GET, HEAD");
        response.keep_alive(false);
        response.body() = "this address only reads\n";
    } else {
        const auto target = request.target();
        auto page = callHandler(handler, std::string(target.data(), target.size()));
        response.result(page.status);
        response.set(http::field::content_type, page.contentType);
        response.set(http::field::cache_control, "no-store");
        response.body() = std::move(page.body);
    }
    response.prepare_payload();
    if (request.method() == http::verb::head) {
        response.body().clear();
    }
    return response;
}

} // namespace

// Binds without SO_REUSEPORT, so that a second daemon with the same settings fails here.
PageServer::PageServer(asio::io_context &context, const Endpoint &listen, PageHandler handler)
    : context_(context)
    , handler_(std::move(handler))
    , acceptor_(context)
{
    const tcp::endpoint endpoint(asio::ip::address_v4(listen.address), listen.port);
    ErrorCode error;
    acceptor_.open(endpoint.protocol(), error);
    if (!error) {
        acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
        acceptor_.bind(endpoint, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        throw Error(ErrorKind::AddressTaken, fmt::format("pages at {}: {}", endpointToString(listen), error.message()));
    }
}

void PageServer::start()
{
    spawnDuty(context_, "accepting connections for pages", [this] { return acceptConnections(); });
}

asio::awaitable<void> PageServer::acceptConnections()
{
    asio::steady_timer pause(context_);
    for (;;) {
        auto [error, socket] = co_await acceptor_.async_accept(kWaitForCompletion);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        // Accepting may fail repeatedly, for example without free file descriptors; the delay avoids a busy loop.
        if (error) {
            pause.expires_after(kAcceptRetryDelay);
            co_await pause.async_wait(kWaitForCompletion);
            continue;
        }
        if (connections_ < kMaxConnections) {
            ++connections_;
            spawnContained(context_, "connection for pages", serve(std::move(socket)));
        }
    }
}

asio::awaitable<void> PageServer::serve(tcp::socket socket)
{
    co_await contained("connection for pages", serveRequests(std::move(socket)));
    --connections_;
}

asio::awaitable<void> PageServer::serveRequests(tcp::socket socket)
{
    beast::tcp_stream stream(std::move(socket));
    beast::flat_buffer buffer;
    bool open = true;
    while (open) {
        stream.expires_after(kConnectionTimeout);
        http::request_parser<http::empty_body> parser;
        parser.header_limit(kMaxRequestHeadBytes);
        const auto [readError, read] = co_await http::async_read(stream, buffer, parser, kWaitForCompletion);
        if (readError) {
            break;
        }
        auto response = makeResponse(parser.get(), handler_);
        stream.expires_after(kConnectionTimeout);
        const auto [writeError, written] = co_await http::async_write(stream, response, kWaitForCompletion);
        open = !writeError && response.keep_alive();
    }
}

} // namespace medlarway
