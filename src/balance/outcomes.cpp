#include "balance/dispatcher_impl.h"

#include <algorithm>

namespace medlarway
{

namespace
{

/// Whether a request of the service class may be sent again after this result.
bool mayRetry(ServiceClass serviceClass, AttemptResult result)
{
    switch (result) {
    case AttemptResult::Shed:
    case AttemptResult::ConnectFailed:
        return true;
    case AttemptResult::Lost:
        return serviceClass == ServiceClass::Idempotent;
    case AttemptResult::Completed:
    case AttemptResult::Truncated:
    case AttemptResult::CallerDisconnected:
        break;
    }
    return false;
}

ErrorKind errorOf(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Shed:
        return ErrorKind::UpstreamShed;
    case AttemptResult::ConnectFailed:
        return ErrorKind::ConnectFailed;
    default:
        return ErrorKind::UpstreamLost;
    }
}

bool endsRequest(AttemptResult result)
{
    return result == AttemptResult::Completed || result == AttemptResult::Truncated || result == AttemptResult::CallerDisconnected;
}

} // namespace

void Dispatcher::Impl::recordResult(const RunningRequest &run, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions)
{
    UpstreamState *state = upstreams.find(run.upstream);
    switch (result) {
    case AttemptResult::Completed:
        serviceTimes.addSample(run.request.path, now - run.started);
        if (state != nullptr) {
            state->warmUpResponses = std::min(state->warmUpResponses + 1, kWarmUpResponses);
            if (recordSuccess(state->outlier, now)) {
                state->warmUpResponses = 0;
                decisions.notices.push_back({Event::UpstreamReadmitted, run.upstream});
            }
        }
        return;
    case AttemptResult::Shed:
        count(Counter::UpstreamSheds);
        if (state != nullptr && retryAfter > Duration{0}) {
            state->shedUntil = now + retryAfter;
        } else if (state != nullptr && options.strategy == Strategy::Leases) {
            SlotLeases::recordShed(state->slots[run.slot], now);
        }
        return;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Lost:
    case AttemptResult::Truncated:
        count(Counter::UpstreamFailures);
        if (state != nullptr
            && recordFailure(state->outlier, mayEjectMore(upstreams.ejectedCount(now), upstreams.listedCount()), random, now)) {
            decisions.notices.push_back({Event::UpstreamEjected, run.upstream});
        }
        return;
    case AttemptResult::CallerDisconnected:
        // The request would have taken at least this long, so the sample counts only if it raises the estimate.
        if (now - run.started > serviceTimes.expected(run.request.path)) {
            serviceTimes.addSample(run.request.path, now - run.started);
        }
        return;
    }
}

void Dispatcher::Impl::retryOrRefuse(const RunningRequest &run, AttemptResult result, Time now, Decisions &decisions)
{
    if (endsRequest(result)) {
        return;
    }

    // Step 1. Refuse the request if its service class or the number of attempts rules out a retry.
    const ErrorKind kind = errorOf(result);
    const bool mayHaveRun = run.mayHaveRun || result == AttemptResult::Lost;
    if (!mayRetry(service.serviceClass, result) || run.attempts + 1 >= kMaxAttempts) {
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }

    // Step 2. Refuse it if the retry budget is spent.
    if (!retryBudget.tryWithdraw()) {
        count(Counter::RetriesDenied);
        decisions.notices.push_back({Event::RetryBudgetSpent, run.upstream});
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }

    // Step 3. Queue it again, to start after a backoff and preferably at another upstream.
    count(Counter::Retries);
    QueuedRequest waiting{.request = run.request,
                          .latestStart = run.request.deadline - serviceTimes.lowEstimate(run.request.path),
                          .readyAt = now + retryBackoff(run.attempts, random),
                          .attempts = run.attempts + 1,
                          .avoid = run.upstream,
                          .isLong = run.isLong,
                          .mayHaveRun = mayHaveRun,
                          .lastError = kind};
    if (waiting.latestStart < waiting.readyAt) {
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }
    enqueue(waiting, now, decisions);
}

void Dispatcher::Impl::refuse(RequestId request, bool mayHaveRun, ErrorKind kind, Decisions &decisions) const
{
    const bool reportsNotRun = errorRow(kind).outcome != Outcome::Unknown;
    const Duration retryAfter = std::max(serviceTimes.mean(), expectedWait(false, Time::max()));
    decisions.refusals.push_back({request, mayHaveRun && reportsNotRun ? ErrorKind::UpstreamLost : kind, retryAfter});
}

} // namespace medlarway
