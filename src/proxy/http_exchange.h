#pragma once

#include "proxy/http_io.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace medlarway
{

/// What becomes of the caller's connection after a request.
enum class AfterExchange : std::uint8_t {
    KeepAlive,
    Close, ///< in order, once the caller has taken the answer
    Reset, ///< so that a cut answer can't pass for a whole one
};

/// How one attempt at an upstream ended.
struct AttemptEnd {
    AttemptResult result = AttemptResult::Lost;
    ErrorKind kind = ErrorKind::UpstreamLost; ///< of a Lost one
    Duration retryAfter{0}; ///< of a Shed one
};

/// One request of one caller: asks the guard and the dispatcher, sends it to upstreams as its class allows and carries
/// the answer back. Lives in the connection's coroutine.
class HttpExchange final : public RequestWaiter
{
public:
    /// The parser has read the head; the connection's input may hold the body's first bytes.
    HttpExchange(HttpConnection &connection, RequestParser &parser);
    ~HttpExchange() override;
    HttpExchange(const HttpExchange &) = delete;
    HttpExchange &operator=(const HttpExchange &) = delete;

    asio::awaitable<AfterExchange> run();

    void onStart(const Endpoint &upstream) override;
    void onRefusal(const Refusal &refusal) override;

private:
    asio::awaitable<AfterExchange> serve();

    // What the request asks for, and what it is refused for.
    std::optional<ErrorKind> plan();
    asio::awaitable<std::optional<ErrorKind>> holdBody();

    // The key guard.
    asio::awaitable<GuardVerdict> askGuard();
    asio::awaitable<std::optional<AfterExchange>> passGuard();
    bool grantExpired() const;
    asio::awaitable<AfterExchange> repeatAnswer();
    void settleKey(RunResult result);

    // Upstreams, one after the other.
    asio::awaitable<AfterExchange> runDispatched();
    asio::awaitable<AfterExchange> runFeed();
    void leaveDispatcher(bool running);
    asio::awaitable<AttemptEnd> attempt(const Endpoint &upstream);
    asio::awaitable<bool> connect(const Endpoint &upstream);
    asio::awaitable<AttemptEnd> talk();
    asio::awaitable<bool> sendRequest();
    void startPump();
    asio::awaitable<void> pump();
    asio::awaitable<void> joinPump();
    asio::awaitable<AttemptEnd> readAnswer();
    asio::awaitable<AttemptEnd> carryAnswer(AnswerParser &parser, BodyReader<false> &body, BodyFraming framing);
    asio::awaitable<bool> passInformation(unsigned status);
    AttemptEnd lost(ErrorKind kind, bool callerFailed = false) const;
    void keepUpstream(const AnswerParser &parser, BodyKind kind, bool moreBytes);

    // What the caller gets.
    asio::awaitable<AfterExchange> conclude(const AttemptEnd &end);
    asio::awaitable<AfterExchange> answerError(ErrorKind kind, Duration retryAfter);
    AfterExchange afterAnswer() const;
    bool mustClose() const;
    bool replayable() const;

    HttpConnection &connection_;
    ServiceRunner &runner_;
    RequestParser &parser_;
    const RequestHead &head_;
    const std::shared_ptr<const Service> service_; ///< as it was when the request came
    BodyFraming framing_;
    BodyReader<true> body_;
    std::string held_; ///< the body's first bytes, kept so that they can be sent again
    std::uint64_t pumped_ = 0; ///< bytes of the body that went to an upstream and weren't kept
    Time arrival_;
    std::optional<Time> deadline_; ///< none for a feed
    bool expectsContinue_ = false;
    std::optional<GuardKey> key_;
    std::optional<GuardVerdict> verdict_;
    bool granted_ = false; ///< the guard let it run and waits to hear of its end
    Time runBefore_ = Time::max(); ///< no byte is sent from this moment on
    RequestId id_ = 0;
    std::optional<Endpoint> start_;
    std::optional<Refusal> refusal_;
    Endpoint upstream_;
    Duration shedFor_{0}; ///< the longest Retry-After that an upstream gave
    bool delivered_ = false; ///< a byte of this attempt may have reached the upstream
    bool mayHaveRun_ = false; ///< an attempt was lost
    bool answerBegan_ = false; ///< a byte of an answer went to the caller
    bool closing_ = false; ///< the caller was told that the connection closes
    bool pumping_ = false;
    bool stopPump_ = false;
    std::optional<ErrorKind> bodyError_;
    std::string copy_; ///< of the answer, for a repeat
};

} // namespace medlarway
