#pragma once

#include "base/endpoint.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

namespace medlarway
{

/// What one page of the operator interface answers.
struct OperatorAnswer {
    unsigned status = 200;
    std::string contentType = "text/plain; charset=utf-8";
    std::string body;
};

/// Answers a GET of a request target, path and query together. Called on the thread that serves them.
using OperatorPages = std::function<OperatorAnswer(const std::string &target)>;

/// A small HTTP server that only reads, on the thread that runs its context.
class PageServer
{
public:
    /// Binds at once. Throws Error(AddressTaken) where it can't.
    PageServer(boost::asio::io_context &context, const Endpoint &listen, OperatorPages pages);

    /// Begins to answer.
    void start();

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    boost::asio::io_context &context_;
    OperatorPages pages_;
    int connections_ = 0;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace medlarway
