#include "proxy/http_exchange.h"

#include "base/errors.h"
#include "base/hash.h"
#include "proxy/http_rules.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// A body up to this size is read before the request is dispatched, so that a slow caller occupies
// no slot, and is kept so that an idempotent request can be retried.
constexpr std::size_t kMaxBufferedBodyBytes = 64U << 10U;

// Number of upstreams that a feed tries.
constexpr int kMaxFeedAttempts = 3;

std::string_view pathOf(std::string_view target)
{
    return target.substr(0, target.find('?'));
}

// Hashes the key twice with different prefixes, since a collision of a single 64-bit hash could be crafted.
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
    runner_.removeWaiter(id_);
    connection_.onVerdict = nullptr;
}

void HttpExchange::onStart(const Endpoint &upstream)
{
    assignedUpstream_ = upstream;
    connection_.signal();
}

void HttpExchange::onRefusal(const Refusal &refusal)
{
    refusal_ = refusal;
    connection_.signal();
}

// Reports the result of a granted run if nothing else has, so that code which ends a request early
// need not consider the guard.
asio::awaitable<AfterExchange> HttpExchange::run()
{
    const auto after = co_await serve();
    finishRun(delivered_ ? RunResult::MayHaveRun : RunResult::NotRun);
    co_return after;
}

// Handles one request from its head to its response.
asio::awaitable<AfterExchange> HttpExchange::serve()
{
    count(Counter::RequestsStarted);

    // Step 1. Read deadline, key and body size from the head.
    if (const auto error = readRequestFields()) {
        co_return co_await respondWithError(*error, Duration::zero());
    }
    connection_.setDeadline(deadline_);

    // Step 2. Buffer the body up to its limit.
    const bool feed = service_->serviceClass == ServiceClass::Feed;
    if (!feed && !expectsContinue_) {
        const auto error = co_await bufferBody();
        if (error) {
            co_return co_await respondWithError(*error, Duration::zero());
        }
        connection_.setDeadline(deadline_);
    }
    if (connection_.interrupted() == Interrupt::CallerDisconnected) {
        co_return AfterExchange::Reset;
    }

    // Step 3. A protected request with a key needs a grant of the key guard.
    connection_.watchCaller();
    if (key_) {
        const auto refused = co_await requestGrant();
        if (refused) {
            connection_.unwatchCaller();
            co_return *refused;
        }
    }

    // Step 4. Send the request to an upstream.
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

// Reads the request's deadline, idempotency key and declared body size.
std::optional<ErrorKind> HttpExchange::readRequestFields()
{
    const auto &limits = service_->limits;
    if (service_->serviceClass != ServiceClass::Feed) {
        auto allowed = limits.defaultDeadline;
        const auto requested = viewOf(head_["Medlarway-Deadline"]);
        if (!requested.empty()) {
            const auto parsed = parseDeadline(trimmed(requested));
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
    expectsContinue_ = equalsIgnoringCase(viewOf(head_[http::field::expect]), "100-continue") && !body_.complete() && !body_.hasBuffered();
    const auto key = viewOf(head_["Idempotency-Key"]);
    if (service_->serviceClass == ServiceClass::Protected && !key.empty()) {
        key_ = guardKeyOf(service_->name, key);
    }
    return std::nullopt;
}

// Reads the body until it is complete or kMaxBufferedBodyBytes are buffered. Nothing has been sent yet, so
// the outcome of every error here is not-run.
asio::awaitable<std::optional<ErrorKind>> HttpExchange::bufferBody()
{
    const auto scratch = runner_.thread().scratch();
    while (bufferedBody_.size() < kMaxBufferedBodyBytes) {
        std::size_t size = 0;
        const auto step = body_.read(scratch.first(std::min(scratch.size(), kMaxBufferedBodyBytes - bufferedBody_.size())), size);
        bufferedBody_.append(scratch.data(), size);
        if (bufferedBody_.size() > service_->limits.requestBytes) {
            co_return ErrorKind::BodyTooLarge;
        }
        if (step == BodyStep::End) {
            break;
        }
        if (step == BodyStep::Malformed) {
            co_return ErrorKind::MalformedRequest;
        }
        if (step == BodyStep::Truncated) {
            connection_.interrupt(Interrupt::CallerDisconnected);
            break;
        }
        if (step == BodyStep::WouldBlock) {
            connection_.setDeadline(std::min(*deadline_, currentTime() + runner_.thread().options().bodyTimeout));
            const auto error = co_await connection_.waitToRead(connection_.caller());
            if (error) {
                co_return ErrorKind::RequestTooSlow;
            }
        }
    }
    co_return std::nullopt;
}

// Claims the key at the cluster's key guard, or in the host's own response store if there is no cluster. The reply
// may arrive on any thread and after this request has finished; a grant that arrives too late is returned.
asio::awaitable<GuardVerdict> HttpExchange::claimKey()
{
    auto &thread = runner_.thread();
    const auto &claim = thread.ports().claimKey;
    if (!claim) {
        co_return runner_.responses().admit(*key_, service_->limits.keyWindow, currentTime());
    }
    verdict_.reset();
    connection_.onVerdict = [this](GuardVerdict verdict, Time runBefore) {
        verdict_ = verdict;
        runBefore_ = runBefore;
        connection_.signal();
    };
    const auto number = connection_.exchangeNumber();
    const auto deliver = [weak = connection_.weak_from_this(), number, key = *key_, &thread](GuardVerdict verdict, Time runBefore) {
        thread.enqueue([weak, number, key, &thread, verdict, runBefore] {
            const auto connection = weak.lock();
            if (connection && connection->exchangeNumber() == number && connection->onVerdict) {
                connection->onVerdict(verdict, runBefore);
            } else if (verdict == GuardVerdict::Run && thread.ports().finishRun) {
                thread.ports().finishRun(key, RunResult::NotRun);
            }
        });
    };
    claim(*key_, service_->limits.keyWindow, *deadline_, deliver);
    while (!verdict_ && connection_.interrupted() == Interrupt::None) {
        co_await connection_.waitForSignal();
    }
    connection_.onVerdict = nullptr;
    co_return verdict_.value_or(GuardVerdict::Refused);
}

// Claims the key. Returns nullopt if the request may run. Otherwise the request is finished, and the result says what to do
// with the caller's connection.
asio::awaitable<std::optional<AfterExchange>> HttpExchange::requestGrant()
{
    const auto verdict = co_await claimKey();
    granted_ = verdict == GuardVerdict::Run;
    if (connection_.interrupted() != Interrupt::None) {
        co_return co_await respondWithError(ErrorKind::DeadlineUnreachable, Duration::zero());
    }
    switch (verdict) {
    case GuardVerdict::Run:
        count(Counter::GuardGrants);
        co_return std::nullopt;
    case GuardVerdict::Repeat:
        co_return co_await repeatResponse();
    case GuardVerdict::MayHaveRun:
        mayHaveRun_ = true;
        co_return co_await respondWithError(ErrorKind::KeyMayHaveRun, Duration::zero());
    case GuardVerdict::Refused:
        break;
    }
    co_return co_await respondWithError(ErrorKind::GuardUnavailable, std::chrono::seconds{1});
}

asio::awaitable<AfterExchange> HttpExchange::repeatResponse()
{
    const auto stored = runner_.responses().find(*key_, currentTime());
    if (!stored) {
        mayHaveRun_ = true;
        co_return co_await respondWithError(ErrorKind::KeyMayHaveRun, Duration::zero());
    }
    closing_ = mustClose();
    const auto reason = http::obsolete_reason(static_cast<http::status>(stored->status));
    const auto text
        = writeResponseHead(stored->status, viewOf(reason), stored->fields, BodyFraming{BodyKind::Length, stored->body.size()}, closing_);
    GatheredBytes bytes(text, stored->body, {});
    const bool complete = co_await writeAll(connection_, connection_.caller(), bytes);
    co_return complete ? afterResponse() : AfterExchange::Reset;
}

// A grant is a lease: a request that has waited beyond its expiry must claim the key again before it is sent.
bool HttpExchange::grantExpired() const
{
    return granted_ && currentTime() >= runBefore_;
}

// Reports the result of a granted run to the guard. Unless the result is NotRun, the key can't
// run again within its window.
void HttpExchange::finishRun(RunResult result)
{
    if (!std::exchange(granted_, false)) {
        return;
    }
    const auto &report = runner_.thread().ports().finishRun;
    if (result == RunResult::NotRun) {
        runner_.responses().release(*key_);
    }
    if (report) {
        report(*key_, result);
    }
}

// Withdraws a request from the dispatcher, which may have started it again in the meantime.
void HttpExchange::abandonRequest(bool running)
{
    if (running || assignedUpstream_) {
        assignedUpstream_.reset();
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
    id_ = runner_.submit(*this, request);
    while (true) {
        // Step 1. Wait for a slot, a refusal or an interrupt.
        while (!assignedUpstream_ && !refusal_ && connection_.interrupted() == Interrupt::None) {
            co_await connection_.waitForSignal();
        }
        if (connection_.interrupted() != Interrupt::None) {
            abandonRequest(false);
            co_return co_await respondWithError(mayHaveRun_ ? ErrorKind::DeadlinePassed : ErrorKind::DeadlineUnreachable, Duration::zero());
        }
        if (refusal_) {
            co_return co_await respondWithError(refusal_->kind, std::max(refusal_->retryAfter, maxRetryAfter_));
        }

        // Step 2. Attempt the upstream.
        const auto upstream = *std::exchange(assignedUpstream_, std::nullopt);
        if (grantExpired()) {
            finishRun(RunResult::NotRun);
            const auto refused = co_await requestGrant();
            if (refused) {
                abandonRequest(true);
                co_return *refused;
            }
        }
        const auto outcome = co_await attempt(upstream);
        mayHaveRun_ = mayHaveRun_ || outcome.result == AttemptResult::Lost;
        maxRetryAfter_ = std::max(maxRetryAfter_, outcome.retryAfter);
        runner_.finish(id_, outcome.result, outcome.retryAfter);

        // Step 3. The dispatcher retries if the service class allows it; otherwise the request ends here.
        const bool failed = outcome.result == AttemptResult::Lost || outcome.result == AttemptResult::Shed
                            || outcome.result == AttemptResult::ConnectFailed;
        const bool again = failed && replayable() && connection_.interrupted() == Interrupt::None
                           && (outcome.result != AttemptResult::Lost || service_->serviceClass == ServiceClass::Idempotent);
        if (!again) {
            if (failed) {
                abandonRequest(false);
            }
            co_return co_await respond(outcome);
        }
    }
}

// A feed occupies one of an upstream's connections instead of a slot. It tries another upstream only if
// the request was not delivered or was refused without running.
asio::awaitable<AfterExchange> HttpExchange::runFeed()
{
    AttemptOutcome outcome;
    std::vector<Endpoint> unreachable;
    const auto hint = combineHash(connection_.callerEndpoint().address, connection_.callerEndpoint().port);
    for (int attempts = 0; attempts < kMaxFeedAttempts; ++attempts) {
        const auto upstream = runner_.openConnectionExcluding(hint, unreachable);
        if (!upstream) {
            co_return co_await respondWithError(attempts == 0 ? ErrorKind::ConnectionLimit : ErrorKind::NoUpstream,
                                                std::chrono::seconds{1});
        }
        outcome = co_await attempt(*upstream);
        runner_.closeConnection(*upstream, outcome.result == AttemptResult::ConnectFailed);
        unreachable.push_back(*upstream);
        const bool unrun = outcome.result == AttemptResult::ConnectFailed || outcome.result == AttemptResult::Shed;
        if (!unrun || !replayable() || connection_.interrupted() != Interrupt::None) {
            break;
        }
    }
    co_return co_await respond(outcome);
}

// Responds to the caller according to the outcome of the last attempt.
asio::awaitable<AfterExchange> HttpExchange::respond(const AttemptOutcome &outcome)
{
    switch (outcome.result) {
    case AttemptResult::Completed:
        count(Counter::RequestsAnswered);
        co_return afterResponse();
    case AttemptResult::Shed:
        co_return co_await respondWithError(ErrorKind::UpstreamShed, outcome.retryAfter);
    case AttemptResult::ConnectFailed:
        co_return co_await respondWithError(ErrorKind::ConnectFailed, std::chrono::seconds{1});
    case AttemptResult::Lost:
        mayHaveRun_ = true;
        co_return co_await respondWithError(outcome.kind, Duration::zero());
    case AttemptResult::Truncated:
        reportError(ErrorKind::AnswerCut, service_->name);
        break;
    case AttemptResult::CallerDisconnected:
        break;
    }
    co_return AfterExchange::Reset;
}

// Sends an error response generated by Medlarway. After a lost attempt no response claims that the
// request did not run, whatever the final error is.
asio::awaitable<AfterExchange> HttpExchange::respondWithError(ErrorKind kind, Duration retryAfter)
{
    if (mayHaveRun_ && errorRow(kind).outcome == Outcome::NotRun && errorRow(kind).httpStatus >= 500) {
        kind = ErrorKind::UpstreamLost;
    }
    const auto &row = errorRow(kind);
    const auto outcome = mayHaveRun_ ? Outcome::Unknown : row.outcome;
    if (outcome == Outcome::NotRun) {
        finishRun(RunResult::NotRun);
    }
    const auto interrupted = connection_.interrupted();
    if (interrupted == Interrupt::CallerDisconnected || interrupted == Interrupt::Aborted) {
        co_return AfterExchange::Reset;
    }
    reportError(kind, service_->name);
    count(outcome == Outcome::NotRun ? Counter::RequestsNotRun : Counter::RequestsUnknown);
    connection_.clearInterrupt();
    connection_.unwatchCaller();
    connection_.setDeadline(currentTime() + runner_.thread().options().connectTimeout);
    closing_ = mustClose();
    const auto text = writeErrorResponse(row, outcome, retryAfter, closing_, head_.method() != http::verb::head);
    const bool complete = co_await writeText(connection_, connection_.caller(), text);
    co_return complete ? afterResponse() : AfterExchange::Reset;
}

bool HttpExchange::mustClose() const
{
    return runner_.draining() || !parser_.keep_alive() || head_.version() < 11 || !body_.complete();
}

AfterExchange HttpExchange::afterResponse() const
{
    return closing_ ? AfterExchange::Close : AfterExchange::KeepAlive;
}

bool HttpExchange::replayable() const
{
    return forwardedBytes_ == 0;
}

} // namespace medlarway
