#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace medlarway
{

/// The response of one page of the operator interface.
struct PageResponse {
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Handles a GET request for a target, which includes path and query. Called on the thread that runs the server.
using PageHandler = std::function<PageResponse(const std::string &target)>;

/// A small HTTP server for read-only pages. It accepts GET and HEAD and runs on the thread of its io_context.
class PageServer
{
public:
    /// Binds and listens. Throws Error(AddressTaken) if that fails.
    PageServer(boost::asio::io_context &context, const Endpoint &listen, PageHandler handler);

    /// Starts accepting connections.
    void start();

private:
    boost::asio::awaitable<void> acceptConnections();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);
    boost::asio::awaitable<void> serveRequests(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &context_;
    PageHandler handler_;
    int connections_ = 0;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace medlarway
