#include "peering/peer_connection.h"

#include "base/backoff.h"
#include "base/completion.h"
#include "base/contained.h"
#include "peering/peer_framing.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

// Messages that wait for one host; later ones are dropped.
constexpr std::size_t kMaxQueued = 64;

// Limit for connecting and for sending one message. A connection that takes longer has gone silent.
constexpr std::chrono::seconds kSendTimeout{3};

constexpr std::chrono::milliseconds kMinBackoff{50};
constexpr std::chrono::milliseconds kMaxBackoff{1000};

} // namespace

PeerConnection::PeerConnection(asio::io_context &context, const Endpoint &to)
    : context_(context)
    , to_(to)
    , random_(std::hash<Endpoint>{}(to))
    , stream_(context)
    , timer_(context)
{
}

void PeerConnection::start()
{
    spawnDuty(context_, "connection to a peer", [self = shared_from_this()] { return self->run(); });
}

bool PeerConnection::enqueue(std::string message)
{
    {
        const std::lock_guard lock(mutex_);
        if (queue_.size() >= kMaxQueued) {
            return false;
        }
        queue_.push_back(std::move(message));
    }
    asio::post(context_, [self = shared_from_this()] {
        if (self->open_) {
            self->timer_.cancel();
        }
    });
    return true;
}

void PeerConnection::close()
{
    asio::post(context_, [self = shared_from_this()] {
        self->closed_ = true;
        self->stream_.close();
        self->timer_.cancel();
    });
}

asio::awaitable<void> PeerConnection::run()
{
    std::uint32_t failures = 0;
    while (!closed_) {
        if (co_await connect()) {
            failures = 0;
            co_await sendMessages();
        }
        open_ = false;
        stream_.close();
        if (!closed_) {
            co_await sleep(toSteady(backoffAfter(failures++, kMinBackoff, kMaxBackoff, random_)));
        }
    }
}

asio::awaitable<bool> PeerConnection::connect()
{
    ++attempt_;
    stream_.expires_after(kSendTimeout);
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(to_.address), to_.port);
    const auto [connectError] = co_await stream_.async_connect(endpoint, kWaitForCompletion);
    if (connectError || closed_) {
        co_return false;
    }
    boost::system::error_code ignored;
    stream_.socket().set_option(asio::ip::tcp::no_delay(true), ignored);
    const auto greeting = greetingOf(PeerRole::Push);
    const auto [writeError, written] = co_await asio::async_write(stream_, asio::buffer(greeting), kWaitForCompletion);
    Greeting answer{};
    const auto [readError, read] = co_await asio::async_read(stream_, asio::buffer(answer), kWaitForCompletion);
    if (writeError || readError || answer != greetingOf(PeerRole::Pull) || closed_) {
        co_return false;
    }
    open_ = true;
    asio::co_spawn(
        context_, [self = shared_from_this(), attempt = attempt_] { return contained("connection to a peer", self->detectClose(attempt)); },
        asio::detached);
    co_return true;
}

// The receiving end sends nothing, so a read that completes means that the connection was lost. Without it the next message would be
// written to a dead connection.
asio::awaitable<void> PeerConnection::detectClose(std::uint64_t attempt)
{
    std::array<char, 1> byte{};
    stream_.expires_never();
    co_await stream_.async_read_some(asio::buffer(byte), kWaitForCompletion);
    if (attempt == attempt_ && open_) {
        open_ = false;
        stream_.close();
        timer_.cancel();
    }
}

asio::awaitable<void> PeerConnection::sendMessages()
{
    while (open_ && !closed_) {
        const auto message = nextMessage();
        if (!message) {
            co_await sleep(std::chrono::steady_clock::duration::max());
            continue;
        }
        const auto length = encodeLength(message->size());
        const std::array<asio::const_buffer, 2> parts{asio::buffer(length), asio::buffer(*message)};
        stream_.expires_after(kSendTimeout);
        const auto [error, written] = co_await asio::async_write(stream_, parts, kWaitForCompletion);
        if (error) {
            co_return;
        }
        stream_.expires_never();
    }
}

asio::awaitable<void> PeerConnection::sleep(std::chrono::steady_clock::duration time)
{
    if (time == std::chrono::steady_clock::duration::max()) {
        timer_.expires_at(std::chrono::steady_clock::time_point::max());
    } else {
        timer_.expires_after(time);
    }
    co_await timer_.async_wait(kWaitForCompletion);
}

std::optional<std::string> PeerConnection::nextMessage()
{
    const std::lock_guard lock(mutex_);
    if (queue_.empty()) {
        return std::nullopt;
    }
    auto message = std::move(queue_.front());
    queue_.pop_front();
    return message;
}

} // namespace medlarway
