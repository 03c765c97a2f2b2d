#include "proxy/stream_service.h"

#include "base/errors.h"
#include "base/hash.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>

namespace medlarway
{

namespace
{

// Number of upstreams that a stream tries to connect to.
constexpr int kMaxConnectAttempts = 3;

// Consecutive reads of one connection before it yields to the others of the thread.
constexpr int kMaxStreamReadsPerTurn = 8;

// Connects one stream to an upstream, then relays bytes in both directions. Nothing is read from the caller
// before an upstream is connected, so a failed connect can be retried at another upstream, and no byte is
// ever sent to two upstreams.
class Stream final : public CallerConnection, public std::enable_shared_from_this<Stream>
{
public:
    Stream(std::shared_ptr<ServiceRunner> runner, tcp::socket socket)
        : runner_(std::move(runner))
        , sockets_{std::move(socket), tcp::socket(runner_->thread().context())}
        , timer_(runner_->thread().context())
    {
        // The hash includes the port, so that the streams of one address are spread over the upstreams.
        const auto caller = callerOf(sockets_[kCaller]);
        callerHash_ = combineHash(caller.address, caller.port);
    }

    ~Stream() override
    {
        if (registered_) {
            runner_->remove(*this);
            count(Counter::StreamsClosed);
        }
        releaseUpstream(false);
    }

    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void start()
    {
        registered_ = runner_->add(*this);
        if (!registered_) {
            refuse(ErrorKind::ConnectionLimit);
            return;
        }
        count(Counter::StreamsOpened);
        connect();
    }

    void beginDrain() override { }

    void abort() override
    {
        abortStream("stream aborted while the host stops");
    }

    void sweep() override { }

    bool isFeed() const override
    {
        return true;
    }

private:
    static constexpr std::size_t kCaller = 0;
    static constexpr std::size_t kUpstream = 1;

    // Bytes received from one side that the other has not accepted yet.
    struct Direction {
        std::vector<char> unsent;
        std::size_t sent = 0;
        bool eofForwarded = false; ///< end of file was forwarded to the other side
    };

    void refuse(ErrorKind kind)
    {
        count(Counter::StreamsRefused);
        reportError(kind, runner_->service().name);
        closeSocket(sockets_[kCaller]);
    }

    void connect()
    {
        upstream_ = runner_->openConnectionExcluding(callerHash_, unreachable_);
        if (!upstream_) {
            refuse(attempts_ == 0 ? ErrorKind::ConnectionLimit : ErrorKind::NoUpstream);
            return;
        }
        ++attempts_;
        auto &socket = sockets_[kUpstream];
        closeSocket(socket);
        timer_.expires_after(runner_->thread().options().connectTimeout);
        timer_.async_wait([self = shared_from_this()](const ErrorCode &error) {
            if (!error && !self->connected_) {
                closeSocket(self->sockets_[kUpstream]);
            }
        });
        socket.async_connect(tcpEndpointOf(*upstream_), [self = shared_from_this()](const ErrorCode &error) { self->onConnected(error); });
    }

    void onConnected(const ErrorCode &error)
    {
        if (!sockets_[kCaller].is_open()) {
            closeSocket(sockets_[kUpstream]);
            return;
        }
        if (error || !sockets_[kUpstream].is_open()) {
            count(Counter::UpstreamFailures);
            unreachable_.push_back(*upstream_);
            releaseUpstream(true);
            if (attempts_ < kMaxConnectAttempts) {
                connect();
            } else {
                refuse(ErrorKind::ConnectFailed);
            }
            return;
        }
        connected_ = true;
        timer_.cancel();
        prepareSocket(sockets_[kUpstream]);
        waitToRead(kCaller);
        waitToRead(kUpstream);
    }

    void releaseUpstream(bool failed)
    {
        if (upstream_) {
            runner_->closeConnection(*upstream_, failed);
            upstream_.reset();
        }
    }

    void waitToRead(std::size_t from)
    {
        sockets_[from].async_wait(tcp::socket::wait_read, [self = shared_from_this(), from](const ErrorCode &error) {
            if (!error) {
                self->relay(from);
            }
        });
    }

    void waitToWrite(std::size_t from)
    {
        sockets_[1 - from].async_wait(tcp::socket::wait_write, [self = shared_from_this(), from](const ErrorCode &error) {
            if (!error) {
                self->sendUnsent(from);
            }
        });
    }

    // Relays bytes from one side to the other. It reads more only after everything was written, so a slow side
    // throttles the other and at most one read is buffered.
    void relay(std::size_t from)
    {
        const auto scratch = runner_->thread().scratch();
        for (int turn = 0; turn < kMaxStreamReadsPerTurn; ++turn) {
            ErrorCode error;
            const auto size = sockets_[from].read_some(asio::buffer(scratch.data(), scratch.size()), error);
            if (isWouldBlock(error)) {
                break;
            }
            if (error == asio::error::eof) {
                forwardEof(from);
                return;
            }
            if (error || !send(from, scratch.first(size))) {
                if (error) {
                    resetBoth();
                }
                return;
            }
        }
        waitToRead(from);
    }

    // Returns true if all bytes were written. Otherwise the rest is buffered or the stream was reset.
    bool send(std::size_t from, std::span<const char> bytes)
    {
        while (!bytes.empty()) {
            ErrorCode error;
            const auto size = sockets_[1 - from].write_some(asio::buffer(bytes.data(), bytes.size()), error);
            if (isWouldBlock(error)) {
                directions_[from].unsent.assign(bytes.begin(), bytes.end());
                directions_[from].sent = 0;
                waitToWrite(from);
                return false;
            }
            if (error) {
                resetBoth();
                return false;
            }
            bytes = bytes.subspan(size);
        }
        return true;
    }

    void sendUnsent(std::size_t from)
    {
        auto &direction = directions_[from];
        while (direction.sent < direction.unsent.size()) {
            ErrorCode error;
            const auto rest = asio::buffer(direction.unsent) + direction.sent;
            direction.sent += sockets_[1 - from].write_some(rest, error);
            if (isWouldBlock(error)) {
                waitToWrite(from);
                return;
            }
            if (error) {
                resetBoth();
                return;
            }
        }
        std::vector<char>().swap(direction.unsent);
        relay(from);
    }

    // Forwards end of file from one side; the other side may still send (half-close).
    void forwardEof(std::size_t from)
    {
        ErrorCode error;
        sockets_[1 - from].shutdown(tcp::socket::shutdown_send, error);
        directions_[from].eofForwarded = true;
        if (directions_[kCaller].eofForwarded && directions_[kUpstream].eofForwarded) {
            closeSocket(sockets_[kCaller]);
            closeSocket(sockets_[kUpstream]);
        }
    }

    // After an error on one side, resets both, so that the other can't take truncated data for complete data.
    void resetBoth()
    {
        if (sockets_[kCaller].is_open()) {
            count(Counter::StreamsBroken);
        }
        resetSocket(sockets_[kCaller]);
        resetSocket(sockets_[kUpstream]);
    }

    void abortStream(std::string_view reason)
    {
        if (sockets_[kCaller].is_open()) {
            reportError(ErrorKind::AnswerCut, reason);
        }
        timer_.cancel();
        resetBoth();
    }

    std::shared_ptr<ServiceRunner> runner_;
    std::array<tcp::socket, 2> sockets_;
    std::array<Direction, 2> directions_;
    asio::steady_timer timer_;
    std::uint64_t callerHash_ = 0;
    std::optional<Endpoint> upstream_;
    std::vector<Endpoint> unreachable_;
    int attempts_ = 0;
    bool connected_ = false;
    bool registered_ = false;
};

} // namespace

void startStream(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller)
{
    std::make_shared<Stream>(runner, std::move(caller))->start();
}

} // namespace medlarway
