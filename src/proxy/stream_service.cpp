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

// Upstreams that one stream tries to connect to.
constexpr int kConnectAttempts = 3;

// Reads in a row before other connections of the thread get their turn.
constexpr int kReadsPerTurn = 8;

// One stream: connects to an upstream, then carries bytes both ways. No byte of the
// caller's is read before an upstream is connected, so a failed connect can be tried
// elsewhere, and nothing is ever sent to two upstreams.
class Stream final : public CallerConnection, public std::enable_shared_from_this<Stream>
{
public:
    Stream(std::shared_ptr<ServiceRunner> runner, tcp::socket socket)
        : runner_(std::move(runner))
        , sockets_{std::move(socket), tcp::socket(runner_->thread().context())}
        , timer_(runner_->thread().context())
    {
        // With the port, so that the streams of one address spread over the upstreams.
        const auto caller = callerOf(sockets_[kCaller]);
        callerHash_ = combineHash(caller.address, caller.port);
    }

    ~Stream() override
    {
        if (counted_) {
            runner_->remove(*this);
            count(Counter::StreamsClosed);
        }
        releaseUpstream(false);
    }

    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    void start()
    {
        counted_ = runner_->add(*this);
        if (!counted_) {
            refuse(ErrorKind::ConnectionLimit);
            return;
        }
        count(Counter::StreamsOpened);
        connect();
    }

    void beginDrain() override { }

    void abort() override
    {
        cut("cut at the end of its grace");
    }

    void sweep() override { }

    bool isFeed() const override
    {
        return true;
    }

private:
    static constexpr std::size_t kCaller = 0;
    static constexpr std::size_t kUpstream = 1;

    // Bytes from one side that the other has not taken yet.
    struct Direction {
        std::vector<char> unsent;
        std::size_t sent = 0;
        bool ended = false; ///< the end was passed on
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
            if (attempts_ < kConnectAttempts) {
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
                self->carry(from);
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

    // Carries what one side has sent to the other. Reading goes on only when all of it
    // was taken, so a slow side holds back the other and at most one read waits in memory.
    void carry(std::size_t from)
    {
        const auto scratch = runner_->thread().scratch();
        for (int turn = 0; turn < kReadsPerTurn; ++turn) {
            ErrorCode error;
            const auto size = sockets_[from].read_some(asio::buffer(scratch.data(), scratch.size()), error);
            if (isWouldBlock(error)) {
                break;
            }
            if (error == asio::error::eof) {
                passEnd(from);
                return;
            }
            if (error || !send(from, scratch.first(size))) {
                if (error) {
                    breakOff();
                }
                return;
            }
        }
        waitToRead(from);
    }

    // True where all was taken; otherwise the rest waits or the stream is broken off.
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
                breakOff();
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
                breakOff();
                return;
            }
        }
        std::vector<char>().swap(direction.unsent);
        carry(from);
    }

    // One side has ended; the other may still send (half-close).
    void passEnd(std::size_t from)
    {
        ErrorCode error;
        sockets_[1 - from].shutdown(tcp::socket::shutdown_send, error);
        directions_[from].ended = true;
        if (directions_[kCaller].ended && directions_[kUpstream].ended) {
            closeSocket(sockets_[kCaller]);
            closeSocket(sockets_[kUpstream]);
        }
    }

    // One side was reset: the other must not take what it got for the whole.
    void breakOff()
    {
        if (sockets_[kCaller].is_open()) {
            count(Counter::StreamsBroken);
        }
        resetSocket(sockets_[kCaller]);
        resetSocket(sockets_[kUpstream]);
    }

    void cut(std::string_view reason)
    {
        if (sockets_[kCaller].is_open()) {
            reportError(ErrorKind::AnswerCut, reason);
        }
        timer_.cancel();
        breakOff();
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
    bool counted_ = false;
};

} // namespace

void startStream(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller)
{
    std::make_shared<Stream>(runner, std::move(caller))->start();
}

} // namespace medlarway
