#include "proxy/http_session.h"

#include "base/errors.h"
#include "proxy/http_exchange.h"
#include "proxy/http_rules.h"

#include <boost/asio/co_spawn.hpp>
#include <exception>

namespace medlarway
{

namespace
{

// After the last response the connection is still read for a while: closing a socket with unread bytes
// sends a reset, and the caller could lose the response.
constexpr auto kLingerTime = std::chrono::seconds{1};
constexpr std::size_t kLingerBytes = 1U << 20U;

// Serves the requests of one caller's connection in sequence.
class HttpSession
{
public:
    explicit HttpSession(std::shared_ptr<HttpConnection> connection)
        : connection_(std::move(connection))
    {
    }

    asio::awaitable<void> run()
    {
        auto after = AfterExchange::KeepAlive;
        while (after == AfterExchange::KeepAlive) {
            after = co_await serveNext();
        }
        if (after == AfterExchange::Reset) {
            resetSocket(connection_->caller());
        } else {
            co_await closeGracefully();
        }
        closeSocket(connection_->upstream());
        connection_->setDeadline(std::nullopt);
    }

private:
    asio::awaitable<AfterExchange> serveNext()
    {
        // Step 1. Wait for the first byte.
        const bool ready = co_await waitForRequest();
        if (!ready) {
            co_return AfterExchange::Close;
        }

        // Step 2. Read and check the head.
        const auto &options = connection_->runner().thread().options();
        connection_->setDeadline(currentTime() + options.headTimeout);
        const auto read = co_await readHead(*connection_, connection_->caller(), connection_->input(), options.headBytes);
        if (connection_->interrupted() == Interrupt::TimedOut) {
            co_return co_await refuse(ErrorKind::RequestTooSlow);
        }
        if (read.error) {
            co_return co_await refuse(*read.error);
        }
        if (read.size == 0) {
            co_return AfterExchange::Reset;
        }
        const auto error = checkRequestHead(viewOf(connection_->input()).substr(0, read.size));
        if (error) {
            co_return co_await refuse(*error);
        }

        // Step 3. Parse it. A head on which parser and check disagree is refused.
        RequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(options.headBytes));
        parser.body_limit(boost::none);
        boost::beast::error_code parseError;
        const auto used = parser.put(asio::buffer(connection_->input().data(), read.size), parseError);
        if (parseError || used != read.size) {
            co_return co_await refuse(ErrorKind::MalformedRequest);
        }
        connection_->input().consume(read.size);

        // Step 4. Serve the request.
        connection_->startExchange();
        HttpExchange exchange(*connection_, parser);
        co_return co_await exchange.run();
    }

    // Returns false if the connection closes without another request.
    asio::awaitable<bool> waitForRequest()
    {
        if (connection_->input().size() > 0) {
            co_return true;
        }
        connection_->setIdle(true);
        connection_->setDeadline(currentTime() + connection_->runner().service().limits.idleTimeout);
        if (connection_->runner().draining()) {
            connection_->beginDrain();
        }
        const auto error = co_await connection_->readMore(connection_->caller(), connection_->input());
        connection_->setIdle(false);
        co_return !error;
    }

    // Responds to a request without a valid head. Later requests on the connection can't be delimited, so it is closed.
    asio::awaitable<AfterExchange> refuse(ErrorKind kind)
    {
        const auto interrupted = connection_->interrupted();
        if (interrupted != Interrupt::None && interrupted != Interrupt::TimedOut) {
            co_return AfterExchange::Reset;
        }
        reportError(kind, endpointToString(connection_->callerEndpoint()));
        count(Counter::RequestsNotRun);
        connection_->clearInterrupt();
        connection_->setDeadline(currentTime() + kLingerTime);
        const auto text = writeErrorResponse(errorRow(kind), errorRow(kind).outcome, Duration::zero(), true, true);
        const bool complete = co_await writeText(*connection_, connection_->caller(), text);
        co_return complete ? AfterExchange::Close : AfterExchange::Reset;
    }

    asio::awaitable<void> closeGracefully()
    {
        auto &socket = connection_->caller();
        ErrorCode error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        connection_->clearInterrupt();
        connection_->setDeadline(currentTime() + kLingerTime);
        const auto scratch = connection_->runner().thread().scratch();
        for (std::size_t dropped = 0; !error && dropped < kLingerBytes;) {
            dropped += socket.read_some(asio::buffer(scratch.data(), scratch.size()), error);
            if (isWouldBlock(error)) {
                error = co_await connection_->waitToRead(socket);
            }
        }
        closeSocket(socket);
    }

    std::shared_ptr<HttpConnection> connection_;
};

asio::awaitable<void> serve(std::shared_ptr<HttpConnection> connection)
{
    HttpSession session(std::move(connection));
    co_await session.run();
}

} // namespace

void startHttpSession(const std::shared_ptr<ServiceRunner> &runner, tcp::socket caller)
{
    auto connection = std::make_shared<HttpConnection>(runner, std::move(caller));
    if (!connection->registerConnection()) {
        reportError(ErrorKind::ConnectionLimit, runner->service().name);
        return;
    }
    const auto executor = connection->caller().get_executor();
    asio::co_spawn(executor, serve(connection), [connection](const std::exception_ptr &fault) {
        if (fault) {
            reportError(ErrorKind::Internal, "exception while serving a caller's connection");
            resetSocket(connection->caller());
            closeSocket(connection->upstream());
        }
    });
}

} // namespace medlarway
