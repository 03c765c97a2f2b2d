#include "base/errors.h"
#include "proxy/http_exchange.h"
#include "proxy/http_rules.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr unsigned kContinue = 100;
constexpr unsigned kSwitchingProtocols = 101;
constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kTooManyRequests = 429;
constexpr unsigned kUnavailable = 503;

// Whether the upstream refused the request without running it. For a protected request the status
// alone is no proof, since an intermediate gateway may generate it; Retry-After shows that the
// upstream itself sheds load.
bool isShed(const ResponseHead &head, ServiceClass serviceClass)
{
    const auto status = head.result_int();
    const bool refusal = status == kUnavailable || status == kTooManyRequests;
    return refusal && (serviceClass == ServiceClass::Idempotent || head.find(http::field::retry_after) != head.end());
}

} // namespace

// Makes one attempt at one upstream. The upstream may close a pooled connection just as the request is
// sent, so only idempotent requests use the pool, and they are then resent on a new connection.
asio::awaitable<AttemptOutcome> HttpExchange::attempt(const Endpoint &upstream)
{
    upstream_ = upstream;
    auto idle = service_->serviceClass == ServiceClass::Idempotent ? runner_.pool().take(upstream) : std::nullopt;
    if (idle) {
        connection_.upstream() = std::move(*idle);
        const auto outcome = co_await sendAndReceive();
        const bool stale = outcome.result == AttemptResult::ConnectFailed
                           || (outcome.result == AttemptResult::Lost && outcome.kind == ErrorKind::UpstreamLost);
        if (!stale || !replayable() || connection_.interrupted() != Interrupt::None) {
            co_return outcome;
        }
        mayHaveRun_ = mayHaveRun_ || outcome.result == AttemptResult::Lost;
    }
    const bool connected = co_await connect(upstream);
    if (!connected) {
        const auto outcome = failedAttempt(ErrorKind::ConnectFailed);
        co_return AttemptOutcome{outcome.result == AttemptResult::CallerDisconnected ? outcome.result : AttemptResult::ConnectFailed,
                                 outcome.kind, Duration::zero()};
    }
    co_return co_await sendAndReceive();
}

asio::awaitable<bool> HttpExchange::connect(const Endpoint &upstream)
{
    if (connection_.interrupted() != Interrupt::None) {
        co_return false;
    }
    auto &socket = connection_.upstream();
    closeSocket(socket);
    asio::steady_timer timer(socket.get_executor(), runner_.thread().options().connectTimeout);
    timer.async_wait([self = connection_.shared_from_this()](const ErrorCode &error) {
        if (!error) {
            closeSocket(self->upstream());
        }
    });
    ErrorCode error;
    co_await socket.async_connect(tcpEndpointOf(upstream), asio::redirect_error(asio::use_awaitable, error));
    // An expired timer whose handler has not run yet would close the new connection, so it counts as a timeout.
    const bool late = timer.cancel() == 0;
    if (error || late || !socket.is_open()) {
        closeSocket(socket);
        co_return false;
    }
    prepareSocket(socket);
    co_return true;
}

// Sends the request over the open connection and forwards the response.
asio::awaitable<AttemptOutcome> HttpExchange::sendAndReceive()
{
    delivered_ = false;
    if (grantExpired()) {
        closeSocket(connection_.upstream());
        co_return AttemptOutcome{AttemptResult::ConnectFailed, ErrorKind::GuardUnavailable, Duration::zero()};
    }
    const bool sent = co_await sendRequest();
    if (!sent && !delivered_) {
        closeSocket(connection_.upstream());
        const auto outcome = failedAttempt(ErrorKind::ConnectFailed);
        co_return AttemptOutcome{outcome.result == AttemptResult::CallerDisconnected ? outcome.result : AttemptResult::ConnectFailed,
                                 outcome.kind, Duration::zero()};
    }
    if (sent && !body_.complete()) {
        startBodyForwarding();
    }
    // Sending may fail although a response arrives: the upstream may refuse early and close.
    const auto outcome = co_await readResponse();
    co_await stopBodyForwarding();
    if (outcome.result != AttemptResult::Completed) {
        resetSocket(connection_.upstream());
    }
    co_return outcome;
}

// Sends the head and the buffered part of the body.
asio::awaitable<bool> HttpExchange::sendRequest()
{
    ForwardContext context;
    context.caller = connection_.callerEndpoint();
    if (deadline_) {
        context.timeLeft = *deadline_ - currentTime();
    }
    const bool complete = body_.complete() && framing_.kind == BodyKind::Chunked;
    context.body = complete ? BodyFraming{BodyKind::Length, bufferedBody_.size()} : framing_;
    context.keepAlive = service_->serviceClass == ServiceClass::Idempotent;
    auto text = writeRequestHead(head_, context);
    const bool asChunk = context.body.kind == BodyKind::Chunked && !bufferedBody_.empty();
    if (asChunk) {
        text += fmt::format("{:x}\r\n", bufferedBody_.size());
    }
    GatheredBytes bytes(text, bufferedBody_, asChunk ? "\r\n" : "");
    const bool sent = co_await writeAll(connection_, connection_.upstream(), bytes);
    delivered_ = bytes.written() > 0;
    co_return sent;
}

void HttpExchange::startBodyForwarding()
{
    connection_.unwatchCaller();
    forwardingBody_ = true;
    stopForwarding_ = false;
    // The completion handler keeps the connection alive; this exchange waits in stopBodyForwarding() for the end.
    const auto keepAlive = connection_.shared_from_this();
    asio::co_spawn(connection_.caller().get_executor(), forwardBody(), [keepAlive](const std::exception_ptr &fault) {
        if (fault) {
            reportError(ErrorKind::Internal, "exception while forwarding a request body");
            keepAlive->interrupt(Interrupt::Aborted);
        }
    });
}

// Forwards the rest of the caller's body to the upstream while the response is read.
asio::awaitable<void> HttpExchange::forwardBody()
{
    RelayState state;
    state.kind = framing_.kind;
    state.maxBytes = service_->limits.requestBytes;
    state.bytesRead = bufferedBody_.size();
    state.stop = &stopForwarding_;
    const auto result = co_await relayBody(connection_, body_, connection_.upstream(), state);
    forwardedBytes_ += state.bytesRead - bufferedBody_.size();
    if (result == RelayResult::SourceTruncated) {
        connection_.interrupt(Interrupt::CallerDisconnected);
    } else if (result == RelayResult::SourceMalformed || result == RelayResult::SourceTooLarge) {
        bodyError_ = result == RelayResult::SourceMalformed ? ErrorKind::MalformedRequest : ErrorKind::BodyTooLarge;
        connection_.interrupt(Interrupt::BadBody);
    } else if (result == RelayResult::Complete && !stopForwarding_) {
        connection_.watchCaller();
    }
    forwardingBody_ = false;
    connection_.signal();
}

asio::awaitable<void> HttpExchange::stopBodyForwarding()
{
    stopForwarding_ = true;
    while (forwardingBody_) {
        ErrorCode ignored;
        connection_.caller().cancel(ignored);
        connection_.upstream().cancel(ignored);
        co_await connection_.waitForSignal();
    }
}

// Reads responses up to the final one and forwards that.
asio::awaitable<AttemptOutcome> HttpExchange::readResponse()
{
    InputBuffer input;
    const auto limit = runner_.thread().options().headBytes;
    while (true) {
        const auto read = co_await readHead(connection_, connection_.upstream(), input, limit);
        if (read.size == 0) {
            co_return failedAttempt(read.error ? ErrorKind::UpstreamBadAnswer : ErrorKind::UpstreamLost);
        }
        if (checkResponseHead(viewOf(input).substr(0, read.size))) {
            co_return failedAttempt(ErrorKind::UpstreamBadAnswer);
        }
        ResponseParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limit));
        parser.body_limit(boost::none);
        boost::beast::error_code error;
        const auto used = parser.put(asio::buffer(input.data(), read.size), error);
        const auto status = parser.get().result_int();
        if (error || used != read.size || status == kSwitchingProtocols) {
            co_return failedAttempt(ErrorKind::UpstreamBadAnswer);
        }
        input.consume(read.size);
        if (status < kFirstFinalStatus) {
            const bool passed = co_await forwardInformational(status);
            if (!passed) {
                co_return AttemptOutcome{AttemptResult::CallerDisconnected, ErrorKind::UpstreamLost, Duration::zero()};
            }
            continue;
        }
        const auto framing = responseFraming(parser.get().base(), head_.method());
        BodyReader<false> body(parser, framing, connection_.upstream(), input);
        co_return co_await forwardResponse(parser, body, framing);
    }
}

// Of the informational responses only 100 Continue is forwarded, and only if the caller expects it.
asio::awaitable<bool> HttpExchange::forwardInformational(unsigned status)
{
    if (status != kContinue || !expectsContinue_ || head_.version() < 11) {
        co_return true;
    }
    expectsContinue_ = false;
    co_return co_await writeText(connection_, connection_.caller(), "HTTP/1.1 100 Continue\r\n\r\n");
}

// Forwards the final response to the caller, unless it is a refusal.
asio::awaitable<AttemptOutcome> HttpExchange::forwardResponse(ResponseParser &parser, BodyReader<false> &body, BodyFraming framing)
{
    // Step 1. A request that the upstream refused without running it may be sent to another one.
    const auto &head = parser.get().base();
    if (isShed(head, service_->serviceClass)) {
        count(Counter::UpstreamSheds);
        delivered_ = false;
        const auto retryAfter = parseRetryAfter(trimmed(viewOf(head[http::field::retry_after])));
        co_return AttemptOutcome{AttemptResult::Shed, ErrorKind::UpstreamShed, retryAfter};
    }

    // Step 2. A response that has started is limited by the service's longest deadline, not by the request's own.
    if (deadline_) {
        connection_.setDeadline(arrival_ + service_->limits.longestDeadline);
    }
    const auto outgoing = framingForCaller(framing, head_.version() >= 11);
    closing_ = mustClose() || forwardingBody_ || outgoing.kind == BodyKind::UntilClose;
    auto fields = writeResponseFields(head);
    const auto declared = framing.kind == BodyKind::None ? declaredFraming(head) : outgoing;

    // Step 3. Forward head and body.
    RelayState state;
    state.kind = outgoing.kind;
    state.pendingHead = writeResponseHead(head.result_int(), viewOf(head.reason()), fields, declared, closing_);
    state.copy = key_ ? &responseCopy_ : nullptr;
    state.maxCopyBytes = kMaxStoredBodyBytes;
    const auto result = co_await relayBody(connection_, body, connection_.caller(), state);
    responseStarted_ = state.written > 0;
    if (result != RelayResult::Complete) {
        co_return failedAttempt(result == RelayResult::SourceMalformed ? ErrorKind::UpstreamBadAnswer : ErrorKind::UpstreamLost,
                                result == RelayResult::SinkFailed);
    }

    // Step 4. Store the response for repeats of the key, and return the connection to the pool.
    if (key_
        && runner_.responses().store(*key_, StoredResponse{head.result_int(), std::move(fields), std::move(responseCopy_)},
                                     service_->limits.keyWindow, currentTime())) {
        finishRun(RunResult::Completed);
    }
    poolUpstream(parser, framing.kind, body.hasBuffered());
    co_return AttemptOutcome{AttemptResult::Completed, ErrorKind::UpstreamLost, Duration::zero()};
}

// A connection is reusable only if request and response are complete and nothing else was received on it.
void HttpExchange::poolUpstream(const ResponseParser &parser, BodyKind kind, bool moreBytes)
{
    auto &socket = connection_.upstream();
    const bool clean = parser.keep_alive() && kind != BodyKind::UntilClose && !moreBytes && !forwardingBody_ && body_.complete();
    if (clean && service_->serviceClass == ServiceClass::Idempotent && !runner_.draining()) {
        runner_.pool().release(upstream_, std::move(socket), currentTime());
    }
    closeSocket(socket);
}

// The outcome of an attempt that did not forward a complete response.
AttemptOutcome HttpExchange::failedAttempt(ErrorKind kind, bool callerFailed) const
{
    const auto interrupted = connection_.interrupted();
    if (interrupted == Interrupt::CallerDisconnected || callerFailed) {
        return AttemptOutcome{AttemptResult::CallerDisconnected, kind, Duration::zero()};
    }
    if (responseStarted_) {
        return AttemptOutcome{AttemptResult::Truncated, kind, Duration::zero()};
    }
    if (interrupted == Interrupt::TimedOut) {
        kind = ErrorKind::DeadlinePassed;
    } else if (interrupted == Interrupt::BadBody && bodyError_) {
        kind = *bodyError_;
    }
    return AttemptOutcome{AttemptResult::Lost, kind, Duration::zero()};
}

} // namespace medlarway
