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

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

// Whether the upstream says that it refused the request unrun. For a protected request
// the status alone is no proof: a gateway on the way may make it up; Retry-After is the
// upstream's word that it sheds load.
bool isShed(const AnswerHead &head, ServiceClass serviceClass)
{
    const auto status = head.result_int();
    const bool refusal = status == kUnavailable || status == kTooManyRequests;
    return refusal && (serviceClass == ServiceClass::Idempotent || head.find(http::field::retry_after) != head.end());
}

} // namespace

// One try at one upstream. A kept connection may have been closed just when the request
// was sent; only an idempotent request uses one, and is then sent again on a new one.
asio::awaitable<AttemptEnd> HttpExchange::attempt(const Endpoint &upstream)
{
    upstream_ = upstream;
    auto idle = service_->serviceClass == ServiceClass::Idempotent ? runner_.pool().take(upstream) : std::nullopt;
    if (idle) {
        connection_.upstream() = std::move(*idle);
        const auto end = co_await talk();
        const bool stale
            = end.result == AttemptResult::ConnectFailed || (end.result == AttemptResult::Lost && end.kind == ErrorKind::UpstreamLost);
        if (!stale || !replayable() || connection_.interrupted() != Interrupt::None) {
            co_return end;
        }
        mayHaveRun_ = mayHaveRun_ || end.result == AttemptResult::Lost;
    }
    const bool connected = co_await connect(upstream);
    if (!connected) {
        const auto end = lost(ErrorKind::ConnectFailed);
        co_return AttemptEnd{end.result == AttemptResult::CallerDisconnected ? end.result : AttemptResult::ConnectFailed, end.kind,
                             Duration::zero()};
    }
    co_return co_await talk();
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
    // A timer that has run out but not yet been handled must not close the new connection.
    const bool late = timer.cancel() == 0;
    if (error || late || !socket.is_open()) {
        closeSocket(socket);
        co_return false;
    }
    prepareSocket(socket);
    co_return true;
}

// Sends the request and carries the answer back, over a connection that is open.
asio::awaitable<AttemptEnd> HttpExchange::talk()
{
    delivered_ = false;
    if (grantExpired()) {
        closeSocket(connection_.upstream());
        co_return AttemptEnd{AttemptResult::ConnectFailed, ErrorKind::GuardUnavailable, Duration::zero()};
    }
    const bool sent = co_await sendRequest();
    if (!sent && !delivered_) {
        closeSocket(connection_.upstream());
        const auto end = lost(ErrorKind::ConnectFailed);
        co_return AttemptEnd{end.result == AttemptResult::CallerDisconnected ? end.result : AttemptResult::ConnectFailed, end.kind,
                             Duration::zero()};
    }
    if (sent && !body_.ended()) {
        startPump();
    }
    // Even where sending failed there may be an answer: an upstream may refuse early and close.
    const auto end = co_await readAnswer();
    co_await joinPump();
    if (end.result != AttemptResult::Completed) {
        resetSocket(connection_.upstream());
    }
    co_return end;
}

// Sends the head and the bytes that are held.
asio::awaitable<bool> HttpExchange::sendRequest()
{
    ForwardContext context;
    context.caller = connection_.callerEndpoint();
    if (deadline_) {
        context.timeLeft = *deadline_ - currentTime();
    }
    const bool whole = body_.ended() && framing_.kind == BodyKind::Chunked;
    context.body = whole ? BodyFraming{BodyKind::Length, held_.size()} : framing_;
    context.keepAlive = service_->serviceClass == ServiceClass::Idempotent;
    auto text = writeRequestHead(head_, context);
    const bool asChunk = context.body.kind == BodyKind::Chunked && !held_.empty();
    if (asChunk) {
        text += fmt::format("{:x}\r\n", held_.size());
    }
    GatheredBytes bytes(text, held_, asChunk ? "\r\n" : "");
    const bool sent = co_await writeAll(connection_, connection_.upstream(), bytes);
    delivered_ = bytes.written() > 0;
    co_return sent;
}

void HttpExchange::startPump()
{
    connection_.unwatchCaller();
    pumping_ = true;
    stopPump_ = false;
    // The connection, and with it the coroutine that holds this exchange, waits for the pump's end.
    const auto keepAlive = connection_.shared_from_this();
    asio::co_spawn(connection_.caller().get_executor(), pump(), [keepAlive](const std::exception_ptr &fault) {
        if (fault) {
            reportError(ErrorKind::Internal, "a request's body");
            keepAlive->interrupt(Interrupt::Aborted);
        }
    });
}

// Carries the rest of the caller's body to the upstream while the answer is read.
asio::awaitable<void> HttpExchange::pump()
{
    RelayPlan plan;
    plan.kind = framing_.kind;
    plan.mostBytes = service_->limits.requestBytes;
    plan.carried = held_.size();
    plan.stop = &stopPump_;
    const auto end = co_await relayBody(connection_, body_, connection_.upstream(), plan);
    pumped_ += plan.carried - held_.size();
    if (end == RelayEnd::SourceCut) {
        connection_.interrupt(Interrupt::CallerGone);
    } else if (end == RelayEnd::SourceMalformed || end == RelayEnd::SourceTooLarge) {
        bodyError_ = end == RelayEnd::SourceMalformed ? ErrorKind::MalformedRequest : ErrorKind::BodyTooLarge;
        connection_.interrupt(Interrupt::BadBody);
    } else if (end == RelayEnd::Whole && !stopPump_) {
        connection_.watchCaller();
    }
    pumping_ = false;
    connection_.signal();
}

asio::awaitable<void> HttpExchange::joinPump()
{
    stopPump_ = true;
    while (pumping_) {
        ErrorCode ignored;
        connection_.caller().cancel(ignored);
        connection_.upstream().cancel(ignored);
        co_await connection_.waitForSignal();
    }
}

// Reads answers until the final one and carries it.
asio::awaitable<AttemptEnd> HttpExchange::readAnswer()
{
    InputBuffer input;
    const auto limit = runner_.thread().options().headBytes;
    while (true) {
        const auto read = co_await readHead(connection_, connection_.upstream(), input, limit);
        if (read.size == 0) {
            co_return lost(read.error ? ErrorKind::UpstreamBadAnswer : ErrorKind::UpstreamLost);
        }
        if (checkAnswerHead(medlarway::viewOf(input).substr(0, read.size))) {
            co_return lost(ErrorKind::UpstreamBadAnswer);
        }
        AnswerParser parser;
        parser.header_limit(static_cast<std::uint32_t>(limit));
        parser.body_limit(boost::none);
        boost::beast::error_code error;
        const auto used = parser.put(asio::buffer(input.data(), read.size), error);
        const auto status = parser.get().result_int();
        if (error || used != read.size || status == kSwitchingProtocols) {
            co_return lost(ErrorKind::UpstreamBadAnswer);
        }
        input.consume(read.size);
        if (status < kFirstFinalStatus) {
            const bool passed = co_await passInformation(status);
            if (!passed) {
                co_return AttemptEnd{AttemptResult::CallerDisconnected, ErrorKind::UpstreamLost, Duration::zero()};
            }
            continue;
        }
        const auto framing = answerFraming(parser.get().base(), head_.method());
        BodyReader<false> body(parser, framing, connection_.upstream(), input);
        co_return co_await carryAnswer(parser, body, framing);
    }
}

// Of the answers before the final one only 100 Continue concerns the caller, where it waits for it.
asio::awaitable<bool> HttpExchange::passInformation(unsigned status)
{
    if (status != kContinue || !expectsContinue_ || head_.version() < 11) {
        co_return true;
    }
    expectsContinue_ = false;
    co_return co_await writeText(connection_, connection_.caller(), "HTTP/1.1 100 Continue\r\n\r\n");
}

// Carries the final answer to the caller, or says that it was a refusal.
asio::awaitable<AttemptEnd> HttpExchange::carryAnswer(AnswerParser &parser, BodyReader<false> &body, BodyFraming framing)
{
    // Step 1. A request that the upstream refused unrun may go elsewhere.
    const auto &head = parser.get().base();
    if (isShed(head, service_->serviceClass)) {
        count(Counter::UpstreamSheds);
        delivered_ = false;
        const auto retryAfter = parseRetryAfter(trimmed(viewOf(head[http::field::retry_after])));
        co_return AttemptEnd{AttemptResult::Shed, ErrorKind::UpstreamShed, retryAfter};
    }

    // Step 2. Once an answer has begun it may take as long as the service allows at most.
    if (deadline_) {
        connection_.setDeadline(arrival_ + service_->limits.longestDeadline);
    }
    const auto outgoing = framingForCaller(framing, head_.version() >= 11);
    closing_ = mustClose() || pumping_ || outgoing.kind == BodyKind::UntilClose;
    auto fields = writeAnswerFields(head);
    const auto declared = framing.kind == BodyKind::None ? declaredFraming(head) : outgoing;

    // Step 3. Head and body.
    RelayPlan plan;
    plan.kind = outgoing.kind;
    plan.pending = writeAnswerHead(head.result_int(), viewOf(head.reason()), fields, declared, closing_);
    plan.copy = key_ ? &copy_ : nullptr;
    plan.copyBytes = kKeptAnswerBytes;
    const auto end = co_await relayBody(connection_, body, connection_.caller(), plan);
    answerBegan_ = plan.written > 0;
    if (end != RelayEnd::Whole) {
        co_return lost(end == RelayEnd::SourceMalformed ? ErrorKind::UpstreamBadAnswer : ErrorKind::UpstreamLost,
                       end == RelayEnd::SinkFailed);
    }

    // Step 4. What is kept: the answer for a repeat, the connection for the next request.
    if (key_
        && runner_.answers().keep(*key_, KeptAnswer{head.result_int(), std::move(fields), std::move(copy_)}, service_->limits.keyWindow,
                                  currentTime())) {
        settleKey(RunResult::Completed);
    }
    keepUpstream(parser, framing.kind, body.hasBuffered());
    co_return AttemptEnd{AttemptResult::Completed, ErrorKind::UpstreamLost, Duration::zero()};
}

// A connection is kept only where both sides know that nothing is under way on it.
void HttpExchange::keepUpstream(const AnswerParser &parser, BodyKind kind, bool moreBytes)
{
    auto &socket = connection_.upstream();
    const bool clean = parser.keep_alive() && kind != BodyKind::UntilClose && !moreBytes && !pumping_ && body_.ended();
    if (clean && service_->serviceClass == ServiceClass::Idempotent && !runner_.draining()) {
        runner_.pool().give(upstream_, std::move(socket), currentTime());
    }
    closeSocket(socket);
}

// Says how an attempt ended that got no whole answer through.
AttemptEnd HttpExchange::lost(ErrorKind kind, bool callerFailed) const
{
    const auto interrupted = connection_.interrupted();
    if (interrupted == Interrupt::CallerGone || callerFailed) {
        return AttemptEnd{AttemptResult::CallerDisconnected, kind, Duration::zero()};
    }
    if (answerBegan_) {
        return AttemptEnd{AttemptResult::Truncated, kind, Duration::zero()};
    }
    if (interrupted == Interrupt::TimedOut) {
        kind = ErrorKind::DeadlinePassed;
    } else if (interrupted == Interrupt::BadBody && bodyError_) {
        kind = *bodyError_;
    }
    return AttemptEnd{AttemptResult::Lost, kind, Duration::zero()};
}

} // namespace medlarway
