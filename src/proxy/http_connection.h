#pragma once

#include "proxy/http_body.h"
#include "proxy/service_runner.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace medlarway
{

/// Why the work on a connection must stop.
enum class Interrupt : std::uint8_t {
    None,
    TimedOut, ///< the deadline set by setDeadline() has passed
    CallerDisconnected,
    BadBody, ///< the caller's body proved invalid while it was being forwarded
    Aborted, ///< the drain timeout of a planned stop has expired, or the process stops
};

/// The sockets, timer and signal of one caller's HTTP connection. Coroutines wait only through its functions, so that one
/// interrupt wakes all of them. Used only on its data thread.
class HttpConnection : public CallerConnection, public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<ServiceRunner> runner, tcp::socket caller);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Registers the connection with its service. Returns false if the service is at its connection limit.
    bool registerConnection();

    void beginDrain() override;
    void abort() override;
    bool isFeed() const override;
    void sweep() override;

    /// Waits until the socket is readable, which includes end of file.
    asio::awaitable<ErrorCode> waitToRead(tcp::socket &socket);

    /// Waits for bytes and appends them to the buffer, at most 4 KiB at a time.
    asio::awaitable<ErrorCode> readMore(tcp::socket &socket, InputBuffer &buffer);

    /// Waits until the socket is writable.
    asio::awaitable<ErrorCode> waitToWrite(tcp::socket &socket);

    /// Waits for signal(). Returns at once if it was called since the last wait.
    asio::awaitable<void> waitForSignal();
    void signal();

    /// Interrupts with TimedOut at the deadline; nullopt disables it. Replaces an earlier deadline.
    void setDeadline(std::optional<Time> deadline);

    /// Cancels all waits. The first reason is kept, except that Aborted overrides any other.
    void interrupt(Interrupt reason);
    Interrupt interrupted() const;

    /// Clears the interrupt, so that a response can still be written.
    void clearInterrupt();

    /// Interrupts with CallerDisconnected if the caller disconnects, until unwatchCaller(). Takes effect at the next sweep.
    void watchCaller();
    void unwatchCaller();

    /// Marks the connection as idle between two requests. A planned stop closes idle connections early.
    void setIdle(bool idle);
    void setFeed(bool feed);

    ServiceRunner &runner();
    tcp::socket &caller();
    tcp::socket &upstream();
    InputBuffer &input();
    const Endpoint &callerEndpoint() const;

    /// Identifies the current request on this connection, so that late replies to an earlier one are recognized.
    std::uint64_t exchangeNumber() const;
    void startExchange();

    /// Receives the key guard's verdict; empty unless an exchange awaits one.
    std::function<void(GuardVerdict, Time runBefore)> onVerdict;

private:
    void startWatching();
    void onCallerReadable(std::uint64_t watch);
    void watchForCallerReset(std::uint64_t watch);

    std::shared_ptr<ServiceRunner> runner_;
    tcp::socket caller_;
    tcp::socket upstream_;
    InputBuffer input_;
    asio::steady_timer timer_;
    asio::steady_timer signal_;
    Endpoint callerEndpoint_;
    std::uint64_t exchangeNumber_ = 0;
    std::uint64_t watch_ = 0; ///< generation of the watch; odd while the caller is watched
    Interrupt interrupt_ = Interrupt::None;
    bool signalled_ = false;
    bool watchRequested_ = false;
    bool idle_ = false;
    bool feed_ = false;
    bool registered_ = false;
};

} // namespace medlarway
