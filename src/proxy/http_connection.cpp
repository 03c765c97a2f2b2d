#include "proxy/http_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace medlarway
{

namespace
{

// How long a silent connection may still send a request after a planned stop began.
constexpr auto kIdleDrainGrace = std::chrono::seconds{1};

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
    if (entered_) {
        runner_->remove(*this);
    }
}

bool HttpConnection::enter()
{
    entered_ = runner_->add(*this);
    return entered_;
}

void HttpConnection::beginDrain()
{
    if (idle_) {
        setDeadline(currentTime() + kIdleDrainGrace);
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

// The interrupt is looked at before each wait: one that comes while a coroutine is about
// to run finds no operation to cancel.
asio::awaitable<ErrorCode> HttpConnection::waitToRead(tcp::socket &socket)
{
    ErrorCode error = asio::error::operation_aborted;
    if (interrupt_ == Interrupt::None) {
        co_await socket.async_wait(tcp::socket::wait_read, asio::redirect_error(asio::use_awaitable, error));
    }
    co_return error;
}

// Reading straight away spares the system call that arms a wait. A connection that waits
// here holds a page; one that carries a body waits without a buffer instead.
asio::awaitable<ErrorCode> HttpConnection::readMore(tcp::socket &socket, InputBuffer &buffer)
{
    ErrorCode error = asio::error::operation_aborted;
    if (interrupt_ == Interrupt::None) {
        const auto room = buffer.prepare(kReadBytes);
        const auto size = co_await socket.async_read_some(room, asio::redirect_error(asio::use_awaitable, error));
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
        // A wait that was replaced may have ended already; the moment that is set now decides.
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

// Most requests end before the next sweep and are never watched, which spares them two system calls.
void HttpConnection::watchCaller()
{
    watchWanted_ = true;
}

void HttpConnection::sweep()
{
    if (watchWanted_ && (watch_ & 1U) == 0) {
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
    watchWanted_ = false;
    if ((watch_ & 1U) != 0) {
        ++watch_;
        ErrorCode ignored;
        caller_.cancel(ignored);
    }
}

// Bytes are the next request, which waits its turn; an end means that nobody waits for
// the answer any more. Behind waiting bytes only a reset can be seen.
void HttpConnection::onCallerReadable(std::uint64_t watch)
{
    char byte = 0;
    ErrorCode error;
    caller_.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, error);
    if (!error) {
        waitForCallerError(watch);
    } else if (!isWouldBlock(error)) {
        interrupt(Interrupt::CallerGone);
    } else {
        ++watch_;
        startWatching();
    }
}

void HttpConnection::waitForCallerError(std::uint64_t watch)
{
    caller_.async_wait(tcp::socket::wait_error, [self = shared_from_this(), watch](const ErrorCode &error) {
        if (!error && self->watch_ == watch) {
            self->interrupt(Interrupt::CallerGone);
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

void HttpConnection::nextExchange()
{
    ++exchangeNumber_;
}

} // namespace medlarway
