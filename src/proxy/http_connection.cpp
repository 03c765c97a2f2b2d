#include "proxy/http_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace medlarway
{

namespace
{

// How long an idle connection may still send a request after a planned stop has begun.
constexpr auto kIdleDrainTimeout = std::chrono::seconds{1};

constexpr std::size_t kReadBytes = 4096;

} // namespace

HttpConnection::HttpConnection(std::shared_ptr<ServiceRunner> runner, tcp::socket caller)
    : runner_(std::move(runner))
    , caller_(std::move(caller))
    , upstream_(runner_->thread().context())
    , timer_(runner_->thread().context())
    , signal_(runner_->thread().context())
    , callerEndpoint_(callerOf(caller_))
{
}

HttpConnection::~HttpConnection()
{
    if (registered_) {
        runner_->remove(*this);
    }
}

bool HttpConnection::registerConnection()
{
    registered_ = runner_->add(*this);
    return registered_;
}

void HttpConnection::beginDrain()
{
    if (idle_) {
        setDeadline(currentTime() + kIdleDrainTimeout);
    }
}

void HttpConnection::abort()
{
    interrupt(Interrupt::Aborted);
}

bool HttpConnection::isFeed() const
{
    return feed_;
}

// The interrupt is checked before each wait, since one that is raised while a coroutine is about
// to run finds no pending operation to cancel.
asio::awaitable<ErrorCode> HttpConnection::waitToRead(tcp::socket &socket)
{
    ErrorCode error = asio::error::operation_aborted;
    if (interrupt_ == Interrupt::None) {
        co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

// Reading directly saves the system call that arms a wait, at the cost of a 4 KiB buffer per waiting
// connection. A connection that transfers a body calls waitToRead() instead, which needs no buffer.
asio::awaitable<ErrorCode> HttpConnection::readMore(tcp::socket &socket, InputBuffer &buffer)
{
    ErrorCode error = asio::error::operation_aborted;
    if (interrupt_ == Interrupt::None) {
        const auto space = buffer.prepare(kReadBytes);
        const auto size = co_await socket.async_read_some(space, asio::redirect_error(asio::use_awaitable, error));
        buffer.commit(size);
    }
    co_return error;
}

asio::awaitable<ErrorCode> HttpConnection::waitToWrite(tcp::socket &socket)
{
    ErrorCode error = asio::error::operation_aborted;
    if (interrupt_ == Interrupt::None) {
        co_await socket.async_wait(tcp::socket::wait_write, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

asio::awaitable<void> HttpConnection::waitForSignal()
{
    if (!signalled_) {
        ErrorCode error;
        signal_.expires_at(asio::steady_timer::time_point::max());
        co_await signal_.async_wait(asio::redirect_error(asio::use_awaitable, error));
    }
    signalled_ = false;
}

void HttpConnection::signal()
{
    signalled_ = true;
    signal_.cancel();
}

void HttpConnection::setDeadline(std::optional<Time> deadline)
{
    if (!deadline) {
        timer_.expires_at(asio::steady_timer::time_point::max());
        return;
    }
    timer_.expires_at(*deadline);
    timer_.async_wait([weak = weak_from_this()](const ErrorCode &error) {
        const auto self = weak.lock();
        // The handler of a replaced wait may already be queued, so the current expiry decides.
        if (!error && self && self->timer_.expiry() <= std::chrono::steady_clock::now()) {
            self->interrupt(Interrupt::TimedOut);
        }
    });
}

void HttpConnection::interrupt(Interrupt reason)
{
    if (interrupt_ == Interrupt::None || reason == Interrupt::Aborted) {
        interrupt_ = reason;
    }
    ErrorCode ignored;
    caller_.cancel(ignored);
    upstream_.cancel(ignored);
    signal();
}

Interrupt HttpConnection::interrupted() const
{
    return interrupt_;
}

void HttpConnection::clearInterrupt()
{
    interrupt_ = Interrupt::None;
}

// Most requests complete before the next sweep and are never watched, which saves two system calls each.
void HttpConnection::watchCaller()
{
    watchRequested_ = true;
}

void HttpConnection::sweep()
{
    if (watchRequested_ && (watch_ & 1U) == 0) {
        startWatching();
    }
}

void HttpConnection::startWatching()
{
    ++watch_;
    caller_.async_wait(tcp::socket::wait_read, [self = shared_from_this(), watch = watch_](const ErrorCode &error) {
        if (!error && self->watch_ == watch) {
            self->onCallerReadable(watch);
        }
    });
}

void HttpConnection::unwatchCaller()
{
    watchRequested_ = false;
    if ((watch_ & 1U) != 0) {
        ++watch_;
        ErrorCode ignored;
        caller_.cancel(ignored);
    }
}

// Readable bytes belong to the next, pipelined request and stay in the socket. End of file means that the caller
// no longer waits for the response. While unread bytes hide the end of file, only a reset can be detected.
void HttpConnection::onCallerReadable(std::uint64_t watch)
{
    char byte = 0;
    ErrorCode error;
    caller_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error) {
        watchForCallerReset(watch);
    } else if (!isWouldBlock(error)) {
        interrupt(Interrupt::CallerDisconnected);
    } else {
        ++watch_;
        startWatching();
    }
}

void HttpConnection::watchForCallerReset(std::uint64_t watch)
{
    caller_.async_wait(tcp::socket::wait_error, [self = shared_from_this(), watch](const ErrorCode &error) {
        if (!error && self->watch_ == watch) {
            self->interrupt(Interrupt::CallerDisconnected);
        }
    });
}

void HttpConnection::setIdle(bool idle)
{
    idle_ = idle;
}

void HttpConnection::setFeed(bool feed)
{
    feed_ = feed;
}

ServiceRunner &HttpConnection::runner()
{
    return *runner_;
}

tcp::socket &HttpConnection::caller()
{
    return caller_;
}

tcp::socket &HttpConnection::upstream()
{
    return upstream_;
}

InputBuffer &HttpConnection::input()
{
    return input_;
}

const Endpoint &HttpConnection::callerEndpoint() const
{
    return callerEndpoint_;
}

std::uint64_t HttpConnection::exchangeNumber() const
{
    return exchangeNumber_;
}

void HttpConnection::startExchange()
{
    ++exchangeNumber_;
}

} // namespace medlarway
