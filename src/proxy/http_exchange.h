#pragma once

#include "proxy/http_io.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace medlarway
{

/// What to do with the caller's connection after a request.
enum class AfterExchange : std::uint8_t {
    KeepAlive,
    Close, ///< close gracefully after the response
    Reset, ///< reset, so that a truncated response can't be taken for a complete one
};

/// The outcome of one attempt at an upstream.
struct AttemptOutcome {
    AttemptResult result = AttemptResult::Lost;
    ErrorKind kind = ErrorKind::UpstreamLost; ///< the error to report if the result is Lost
    Duration retryAfter{0}; ///< the upstream's Retry-After value if the result is Shed
};

/// Handles one request of one caller: obtains the key guard's grant and an upstream from the dispatcher, sends the request,
/// retries it as its service class allows and forwards the response. Lives in the connection's coroutine.
class HttpExchange final : public RequestWaiter
{
public:
    /// The parser must have parsed the head. The connection's input may already contain the first bytes of the body.
    HttpExchange(HttpConnection &connection, RequestParser &parser);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    asio::awaitable<AfterExchange> run();

    void onStart(const Endpoint &upstream) override;
    void onRefusal(const Refusal &refusal) override;

private:
    asio::awaitable<AfterExchange> serve();

    // Reading the request.
    std::optional<ErrorKind> readRequestFields();
    asio::awaitable<std::optional<ErrorKind>> bufferBody();

    // The key guard.
    asio::awaitable<GuardVerdict> claimKey();
    asio::awaitable<std::optional<AfterExchange>> requestGrant();
    bool grantExpired() const;
    asio::awaitable<AfterExchange> repeatResponse();
    void finishRun(RunResult result);

    // Attempts at upstreams, one after the other.
    asio::awaitable<AfterExchange> runDispatched();
    asio::awaitable<AfterExchange> runFeed();
    void abandonRequest(bool running);
    asio::awaitable<AttemptOutcome> attempt(const Endpoint &upstream);
    asio::awaitable<bool> connect(const Endpoint &upstream);
    asio::awaitable<AttemptOutcome> sendAndReceive();
    asio::awaitable<bool> sendRequest();
    void startBodyForwarding();
    asio::awaitable<void> forwardBody();
    asio::awaitable<void> stopBodyForwarding();
    asio::awaitable<AttemptOutcome> readResponse();
    asio::awaitable<AttemptOutcome> forwardResponse(ResponseParser &parser, BodyReader<false> &body, BodyFraming framing);
    asio::awaitable<bool> forwardInformational(unsigned status);
    AttemptOutcome failedAttempt(ErrorKind kind, bool callerFailed = false) const;
    void poolUpstream(const ResponseParser &parser, BodyKind kind, bool moreBytes);

    // Responding to the caller.
    asio::awaitable<AfterExchange> respond(const AttemptOutcome &outcome);
    asio::awaitable<AfterExchange> respondWithError(ErrorKind kind, Duration retryAfter);
    AfterExchange afterResponse() const;
    bool mustClose() const;
    bool replayable() const;

    HttpConnection &connection_;
    ServiceRunner &runner_;
    RequestParser &parser_;
    const RequestHead &head_;
    const std::shared_ptr<const Service> service_; ///< the service definition when the request arrived
    BodyFraming framing_;
    BodyReader<true> body_;
    std::string bufferedBody_; ///< the first bytes of the body, kept for retries
    std::uint64_t forwardedBytes_ = 0; ///< body bytes sent to an upstream without being buffered; a retry is then impossible
    Time arrival_;
    std::optional<Time> deadline_; ///< nullopt for a feed
    bool expectsContinue_ = false;
    std::optional<GuardKey> key_;
    std::optional<GuardVerdict> verdict_;
    bool granted_ = false; ///< the guard granted a run whose result has not been reported yet
    Time runBefore_ = Time::max(); ///< expiry of the grant: no attempt starts at or after this time
    RequestId id_ = 0;
    std::optional<Endpoint> assignedUpstream_;
    std::optional<Refusal> refusal_;
    Endpoint upstream_;
    Duration maxRetryAfter_{0}; ///< the largest Retry-After value received from an upstream
    bool delivered_ = false; ///< the current attempt may have sent bytes to the upstream
    bool mayHaveRun_ = false; ///< an attempt was lost, so the request may have run
    bool responseStarted_ = false; ///< the caller was sent part of a response
    bool closing_ = false; ///< the response announces that the connection will be closed
    bool forwardingBody_ = false;
    bool stopForwarding_ = false;
    std::optional<ErrorKind> bodyError_;
    std::string responseCopy_; ///< body of the response, stored for repeats of the key
};

} // namespace medlarway
