#pragma once

#include "proxy/http_body.h"
#include "proxy/service_runner.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace medlarway
{

/// Why a connection's work must stop where it is.
enum class Interrupt : std::uint8_t {
    None,
    TimedOut, ///< the time that was set has passed
    CallerGone,
    BadBody, ///< the caller's body turned out invalid while it was passed on
    Aborted, ///< the grace of a planned stop is over
};

/// The sockets, timer and signal of one caller's HTTP connection. Coroutines wait only through it, so that one
/// interrupt wakes them all. Only its data thread touches it.
class HttpConnection : public CallerConnection, public std::enable_shared_from_this<HttpConnection>
{
public:
    HttpConnection(std::shared_ptr<ServiceRunner> runner, tcp::socket caller);
    ~HttpConnection() override;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Registers with the service; false where it has its limit of connections.
    bool enter();

    void beginDrain() override;
    void abort() override;
    bool isFeed() const override;
    void sweep() override;

    /// Waits until the socket has something to read, its end included.
    asio::awaitable<ErrorCode> waitToRead(tcp::socket &socket);

    /// Waits for bytes and puts them into the buffer, a page at most.
    asio::awaitable<ErrorCode> readMore(tcp::socket &socket, InputBuffer &buffer);

    /// Waits until the socket takes bytes.
    asio::awaitable<ErrorCode> waitToWrite(tcp::socket &socket);

    /// Waits for signal(); returns at once where it came since the last wait.
    asio::awaitable<void> waitForSignal();
    void signal();

    /// Interrupts at the moment; nullopt for never. Replaces what was set before.
    void setDeadline(std::optional<Time> deadline);

    /// Stops all waiting; the first reason stays.
    void interrupt(Interrupt reason);
    Interrupt interrupted() const;

    /// Forgets an interrupt by time, so that an answer can still be written.
    void clearInterrupt();

    /// Interrupts when the caller goes away, until unwatchCaller(). Looking begins with the next sweep.
    void watchCaller();
    void unwatchCaller();

    /// Between two requests; a planned stop ends this soon.
    void setIdle(bool idle);
    void setFeed(bool feed);

    ServiceRunner &runner();
    tcp::socket &caller();
    tcp::socket &upstream();
    InputBuffer &input();
    const Endpoint &callerEndpoint() const;

    /// A number that changes with each request, by which late replies are told.
    std::uint64_t exchangeNumber() const;
    void nextExchange();

    /// Where a guard's verdict goes while one is awaited.
    std::function<void(GuardVerdict, Time runBefore)> onVerdict;

private:
    void startWatching();
    void onCallerReadable(std::uint64_t watch);
    void waitForCallerError(std::uint64_t watch);

    std::shared_ptr<ServiceRunner> runner_;
    tcp::socket caller_;
    tcp::socket upstream_;
    InputBuffer input_;
    asio::steady_timer timer_;
    asio::steady_timer signal_;
    Endpoint callerEndpoint_;
    std::uint64_t exchangeNumber_ = 0;
    std::uint64_t watch_ = 0; ///< odd while the caller is watched
    Interrupt interrupt_ = Interrupt::None;
    bool signalled_ = false;
    bool watchWanted_ = false;
    bool idle_ = false;
    bool feed_ = false;
    bool entered_ = false;
};

} // namespace medlarway
