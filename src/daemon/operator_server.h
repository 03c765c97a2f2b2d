#pragma once

#include "base/endpoint.h"
#include "daemon/duty_thread.h"

#include <boost/asio/awaitable.hpp>
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

/// Answers a GET of a request target, path and query together. Called on the operator thread; may wait.
using OperatorPages = std::function<OperatorAnswer(const std::string &target)>;

/// The operator interface: a small HTTP server that only reads, on a thread of its own.
class OperatorServer
{
public:
    /// Binds at once. Throws Error(AddressTaken) where it can't.
    OperatorServer(const Endpoint &listen, OperatorPages pages);
    ~OperatorServer();
    OperatorServer(const OperatorServer &) = delete;
    OperatorServer &operator=(const OperatorServer &) = delete;

    void start();

    /// Ends the thread and every connection.
    void stop();

private:
    boost::asio::awaitable<void> acceptAll();
    boost::asio::awaitable<void> serve(boost::asio::ip::tcp::socket socket);

    OperatorPages pages_;
    int connections_ = 0;
    DutyThread thread_;
    boost::asio::ip::tcp::acceptor acceptor_;
};

} // namespace medlarway
