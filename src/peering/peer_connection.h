#pragma once

#include "base/endpoint.h"
#include "base/random.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <deque>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

namespace medlarway
{

/// An outgoing connection for messages to one host. It connects again after each failure, with backoff, until close().
class PeerConnection : public std::enable_shared_from_this<PeerConnection>
{
public:
    PeerConnection(boost::asio::io_context &context, const Endpoint &to);

    /// Starts connecting.
    void start();

    /// Queues a message; false if the queue is full. May be called on any thread. A message is lost if the connection fails while it is
    /// being sent.
    bool enqueue(std::string message);

    /// Closes the connection for good and drops the queued messages. May be called on any thread.
    void close();

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> connect();
    boost::asio::awaitable<void> detectClose(std::uint64_t attempt);
    boost::asio::awaitable<void> sendMessages();
    boost::asio::awaitable<void> sleep(std::chrono::steady_clock::duration time);
    std::optional<std::string> nextMessage();

    boost::asio::io_context &context_;
    Endpoint to_;
    Random random_;
    boost::beast::tcp_stream stream_;
    boost::asio::steady_timer timer_; ///< ends the backoff, or wakes the sender when a message was queued
    std::uint64_t attempt_ = 0; ///< number of the current connection
    bool open_ = false;
    bool closed_ = false; ///< close() was called
    std::mutex mutex_; ///< protects queue_
    std::deque<std::string> queue_;
};

} // namespace medlarway
