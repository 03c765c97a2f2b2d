#include "proxy/http_exchange.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/http_rules.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// A body up to this size is read before the request is dispatched, so that a slow caller
// holds no slot, and is kept so that an idempotent request can be sent again.
constexpr std::size_t kHeldBodyBytes = 64U << 10U;

// Upstreams that one feed tries to reach.
constexpr int kFeedAttempts = 3;

std::string_view viewOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Two hashes of the key under different prefixes; one of 64 bits could collide by design.
GuardKey guardKeyOf(const std::string &service, std::string_view key)
{
    std::string salted = "1:";
    salted += key;
    GuardKey result;
    result.service = hashBytes(service);
    result.keyHigh = hashBytes(salted);
    salted[0] = '2';
    result.keyLow = hashBytes(salted);
    return result;
}

} // namespace

HttpExchange::HttpExchange(HttpConnection &connection, RequestParser &parser)
    : connection_(connection)
    , runner_(connection.runner())
    , parser_(parser)
    , head_(parser.get().base())
    , service_(runner_.sharedService())
    , framing_(requestFraming(head_))
    , body_(parser, framing_, connection.caller(), connection.input())
    , arrival_(currentTime())
{
}

HttpExchange::~HttpExchange()
{
    runner_.forget(id_);
    connection_.onVerdict = nullptr;
}

void HttpExchange::onStart(const Endpoint &upstream)
{
    start_ = upstream;
    connection_.signal();
}

void HttpExchange::onRefusal(const Refusal &refusal)
{
    refusal_ = refusal;
    connection_.signal();
}

// A grant that nothing else has settled is settled here: whoever ends a request early
// need not think of the guard.
asio::awaitable<AfterExchange> HttpExchange::run()
{
    const auto after = co_await serve();
    settleKey(delivered_ ? RunResult::MayHaveRun : RunResult::NotRun);
    co_return after;
}

// The whole course of one request.
asio::awaitable<AfterExchange> HttpExchange::serve()
{
    count(Counter::RequestsStarted);

    // Step 1. What it asks for.
    if (const auto error = plan()) {
        co_return co_await answerError(*error, Duration::zero());
    }
    connection_.setDeadline(deadline_);

    // Step 2. Its body, as far as it is held back.
    const bool feed = service_->serviceClass == ServiceClass::Feed;
    if (!feed && !expectsContinue_) {
        const auto error = co_await holdBody();
        if (error) {
            co_return co_await answerError(*error, Duration::zero());
        }
        connection_.setDeadline(deadline_);
    }
    if (connection_.interrupted() == Interrupt::CallerGone) {
        co_return AfterExchange::Reset;
    }

    // Step 3. A protected request with a key runs only with the guard's consent.
    connection_.watchCaller();
    if (key_) {
        const auto refused = co_await passGuard();
        if (refused) {
            connection_.unwatchCaller();
            co_return *refused;
        }
    }

    // Step 4. Upstreams.
    connection_.setFeed(feed);
    if (feed) {
        body_.release();
    }
    const auto after = feed ? co_await runFeed() : co_await runDispatched();
    connection_.setFeed(false);
    connection_.unwatchCaller();
    connection_.setDeadline(std::nullopt);
    co_return after;
}

// Reads the request's own terms: deadline, key, size of its body.
std::optional<ErrorKind> HttpExchange::plan()
{
    const auto &limits = service_->limits;
    if (service_->serviceClass != ServiceClass::Feed) {
        auto allowed = limits.defaultDeadline;
        const auto asked = viewOf(head_["Medlarway-Deadline"]);
        if (!asked.empty()) {
            const auto parsed = parseDeadline(trimmed(asked));
            if (!parsed) {
                return ErrorKind::MalformedRequest;
            }
            allowed = *parsed;
        }
        deadline_ = arrival_ + std::min(allowed, limits.longestDeadline);
    }
    if (framing_.kind == BodyKind::Length && framing_.length > limits.requestBytes) {
        return ErrorKind::BodyTooLarge;
    }
    expectsContinue_ = equalsIgnoringCase(viewOf(head_[http::field::expect]), "100-continue") && !body_.ended() && !body_.hasBuffered();
    const auto key = viewOf(head_["Idempotency-Key"]);
    if (service_->serviceClass == ServiceClass::Protected && !key.empty()) {
        key_ = guardKeyOf(service_->name, key);
    }
    return std::nullopt;
}

// Reads the body until it is whole or kHeldBodyBytes are held. Nothing was sent yet, so
// every error here is not-run.
asio::awaitable<std::optional<ErrorKind>> HttpExchange::holdBody()
{
    const auto scratch = runner_.thread().scratch();
    while (held_.size() < kHeldBodyBytes) {
        std::size_t size = 0;
        const auto step = body_.read(scratch.first(std::min(scratch.size(), kHeldBodyBytes - held_.size())), size);
        held_.append(scratch.data(), size);
        if (held_.size() > service_->limits.requestBytes) {
            co_return ErrorKind::BodyTooLarge;
        }
        if (step == BodyStep::End) {
            break;
        }
        if (step == BodyStep::Malformed) {
            co_return ErrorKind::MalformedRequest;
        }
        if (step == BodyStep::Cut) {
            connection_.interrupt(Interrupt::CallerGone);
            break;
        }
        if (step == BodyStep::Wait) {
            connection_.setDeadline(std::min(*deadline_, currentTime() + runner_.thread().options().bodyTimeout));
            const auto error = co_await connection_.waitToRead(connection_.caller());
            if (error) {
                co_return ErrorKind::RequestTooSlow;
            }
        }
    }
    co_return std::nullopt;
}

// Asks the cluster's guard, or on a host alone its own memory. The reply may come on any
// thread and after this request has ended; a consent nobody waits for is given back.
asio::awaitable<GuardVerdict> HttpExchange::askGuard()
{
    auto &thread = runner_.thread();
    const auto &ask = thread.ports().askGuard;
    if (!ask) {
        co_return runner_.answers().admit(*key_, service_->limits.keyWindow, currentTime());
    }
    verdict_.reset();
    connection_.onVerdict = [this](GuardVerdict verdict, Time runBefore) {
        verdict_ = verdict;
        runBefore_ = runBefore;
        connection_.signal();
    };
    const auto number = connection_.exchangeNumber();
    const auto deliver = [weak = connection_.weak_from_this(), number, key = *key_, &thread](GuardVerdict verdict, Time runBefore) {
        thread.hand([weak, number, key, &thread, verdict, runBefore] {
            const auto connection = weak.lock();
            if (connection && connection->exchangeNumber() == number && connection->onVerdict) {
                connection->onVerdict(verdict, runBefore);
            } else if (verdict == GuardVerdict::Run && thread.ports().guardFinished) {
                thread.ports().guardFinished(key, RunResult::NotRun);
            }
        });
    };
    ask(*key_, service_->limits.keyWindow, *deadline_, deliver);
    while (!verdict_ && connection_.interrupted() == Interrupt::None) {
        co_await connection_.waitForSignal();
    }
    connection_.onVerdict = nullptr;
    co_return verdict_.value_or(GuardVerdict::Refused);
}

// nullopt where the request may run.
asio::awaitable<std::optional<AfterExchange>> HttpExchange::passGuard()
{
    const auto verdict = co_await askGuard();
    granted_ = verdict == GuardVerdict::Run;
    if (connection_.interrupted() != Interrupt::None) {
        co_return co_await answerError(ErrorKind::DeadlineUnreachable, Duration::zero());
    }
    switch (verdict) {
    case GuardVerdict::Run:
        count(Counter::GuardGrants);
        co_return std::nullopt;
    case GuardVerdict::Repeat:
        co_return co_await repeatAnswer();
    case GuardVerdict::MayHaveRun:
        mayHaveRun_ = true;
        co_return co_await answerError(ErrorKind::KeyMayHaveRun, Duration::zero());
    case GuardVerdict::Refused:
        break;
    }
    co_return co_await answerError(ErrorKind::GuardUnavailable, std::chrono::seconds{1});
}

asio::awaitable<AfterExchange> HttpExchange::repeatAnswer()
{
    const auto kept = runner_.answers().find(*key_, currentTime());
    if (!kept) {
        mayHaveRun_ = true;
        co_return co_await answerError(ErrorKind::KeyMayHaveRun, Duration::zero());
    }
    closing_ = mustClose();
    const auto reason = http::obsolete_reason(static_cast<http::status>(kept->status));
    const auto text
        = writeAnswerHead(kept->status, viewOf(reason), kept->fields, BodyFraming{BodyKind::Length, kept->body.size()}, closing_);
    GatheredBytes bytes(text, kept->body, {});
    const bool whole = co_await writeAll(connection_, connection_.caller(), bytes);
    co_return whole ? afterAnswer() : AfterExchange::Reset;
}

// A grant is a lease: a request that waited past it asks again before it is sent.
bool HttpExchange::grantExpired() const
{
    return granted_ && currentTime() >= runBefore_;
}

// Tells the guard how a request that it let run has ended. Unless that is not-run, the
// key stays spent for its window.
void HttpExchange::settleKey(RunResult result)
{
    if (!std::exchange(granted_, false)) {
        return;
    }
    const auto &finished = runner_.thread().ports().guardFinished;
    if (result == RunResult::NotRun) {
        runner_.answers().release(*key_);
    }
    if (finished) {
        finished(*key_, result);
    }
}

// Gives up a request whose dispatcher may have decided meanwhile to start it again.
void HttpExchange::leaveDispatcher(bool running)
{
    if (running || start_) {
        start_.reset();
        runner_.finish(id_, AttemptResult::CallerDisconnected, Duration::zero());
    } else if (!refusal_) {
        runner_.cancel(id_);
    }
}

asio::awaitable<AfterExchange> HttpExchange::runDispatched()
{
    Request request;
    request.caller = mixBits(connection_.callerEndpoint().address);
    request.path = hashBytes(pathOf(viewOf(head_.target())));
    request.deadline = *deadline_;
    id_ = runner_.arrive(*this, request);
    while (true) {
        // Step 1. Wait for a slot, a refusal or the caller's leaving.
        while (!start_ && !refusal_ && connection_.interrupted() == Interrupt::None) {
            co_await connection_.waitForSignal();
        }
        if (connection_.interrupted() != Interrupt::None) {
            leaveDispatcher(false);
            co_return co_await answerError(mayHaveRun_ ? ErrorKind::DeadlinePassed : ErrorKind::DeadlineUnreachable, Duration::zero());
        }
        if (refusal_) {
            co_return co_await answerError(refusal_->kind, std::max(refusal_->retryAfter, shedFor_));
        }

        // Step 2. Try the upstream.
        const auto upstream = *std::exchange(start_, std::nullopt);
        if (grantExpired()) {
            settleKey(RunResult::NotRun);
            const auto refused = co_await passGuard();
            if (refused) {
                leaveDispatcher(true);
                co_return *refused;
            }
        }
        const auto end = co_await attempt(upstream);
        mayHaveRun_ = mayHaveRun_ || end.result == AttemptResult::Lost;
        shedFor_ = std::max(shedFor_, end.retryAfter);
        runner_.finish(id_, end.result, end.retryAfter);

        // Step 3. The dispatcher tries again what its class allows; the rest ends here.
        const bool failed
            = end.result == AttemptResult::Lost || end.result == AttemptResult::Shed || end.result == AttemptResult::ConnectFailed;
        const bool again = failed && replayable() && connection_.interrupted() == Interrupt::None
                           && (end.result != AttemptResult::Lost || service_->serviceClass == ServiceClass::Idempotent);
        if (!again) {
            if (failed) {
                leaveDispatcher(false);
            }
            co_return co_await conclude(end);
        }
    }
}

// A feed takes a connection of an upstream, not a slot. It moves on to another upstream
// only where the request was not delivered or was refused unrun.
asio::awaitable<AfterExchange> HttpExchange::runFeed()
{
    AttemptEnd end;
    std::vector<Endpoint> unreachable;
    const auto hint = combineHash(connection_.callerEndpoint().address, connection_.callerEndpoint().port);
    for (int attempts = 0; attempts < kFeedAttempts; ++attempts) {
        const auto upstream = runner_.openOtherConnection(hint, unreachable);
        if (!upstream) {
            co_return co_await answerError(attempts == 0 ? ErrorKind::ConnectionLimit : ErrorKind::NoUpstream, std::chrono::seconds{1});
        }
        end = co_await attempt(*upstream);
        runner_.closeConnection(*upstream, end.result == AttemptResult::ConnectFailed);
        unreachable.push_back(*upstream);
        const bool unrun = end.result == AttemptResult::ConnectFailed || end.result == AttemptResult::Shed;
        if (!unrun || !replayable() || connection_.interrupted() != Interrupt::None) {
            break;
        }
    }
    co_return co_await conclude(end);
}

// Turns the end of the last attempt into what the caller gets.
asio::awaitable<AfterExchange> HttpExchange::conclude(const AttemptEnd &end)
{
    switch (end.result) {
    case AttemptResult::Completed:
        count(Counter::RequestsAnswered);
        co_return afterAnswer();
    case AttemptResult::Shed:
        co_return co_await answerError(ErrorKind::UpstreamShed, end.retryAfter);
    case AttemptResult::ConnectFailed:
        co_return co_await answerError(ErrorKind::ConnectFailed, std::chrono::seconds{1});
    case AttemptResult::Lost:
        mayHaveRun_ = true;
        co_return co_await answerError(end.kind, Duration::zero());
    case AttemptResult::Truncated:
        reportError(ErrorKind::AnswerCut, service_->name);
        break;
    case AttemptResult::CallerDisconnected:
        break;
    }
    co_return AfterExchange::Reset;
}

// An answer of Medlarway's own. Once an attempt was lost no answer claims that the
// request did not run, whatever it is refused for in the end.
asio::awaitable<AfterExchange> HttpExchange::answerError(ErrorKind kind, Duration retryAfter)
{
    if (mayHaveRun_ && errorRow(kind).outcome == Outcome::NotRun && errorRow(kind).httpStatus >= 500) {
        kind = ErrorKind::UpstreamLost;
    }
    const auto &row = errorRow(kind);
    const auto outcome = mayHaveRun_ ? Outcome::Unknown : row.outcome;
    if (outcome == Outcome::NotRun) {
        settleKey(RunResult::NotRun);
    }
    const auto interrupted = connection_.interrupted();
    if (interrupted == Interrupt::CallerGone || interrupted == Interrupt::Aborted) {
        co_return AfterExchange::Reset;
    }
    reportError(kind, service_->name);
    count(outcome == Outcome::NotRun ? Counter::RequestsNotRun : Counter::RequestsUnknown);
    connection_.clearInterrupt();
    connection_.unwatchCaller();
    connection_.setDeadline(currentTime() + runner_.thread().options().connectTimeout);
    closing_ = mustClose();
    const auto text = writeErrorAnswer(row, outcome, retryAfter, closing_, head_.method() != http::verb::head);
    const bool whole = co_await writeText(connection_, connection_.caller(), text);
    co_return whole ? afterAnswer() : AfterExchange::Reset;
}

bool HttpExchange::mustClose() const
{
    return runner_.draining() || !parser_.keep_alive() || head_.version() < 11 || !body_.ended();
}

AfterExchange HttpExchange::afterAnswer() const
{
    return closing_ ? AfterExchange::Close : AfterExchange::KeepAlive;
}

bool HttpExchange::replayable() const
{
    return pumped_ == 0;
}

} // namespace medlarway
