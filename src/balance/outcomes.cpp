#include "balance/dispatcher_impl.h"

#include <algorithm>

namespace medlarway
{

namespace
{

/// Whether the class lets a request be sent again after this result.
bool mayRetry(ServiceClass serviceClass, AttemptResult result)
{
    switch (result) {
    case AttemptResult::Shed:
    case AttemptResult::ConnectFailed:
        return true;
    case AttemptResult::Lost:
        return serviceClass == ServiceClass::Idempotent;
    case AttemptResult::Answered:
    case AttemptResult::Cut:
    case AttemptResult::CallerGone:
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

bool isSilent(AttemptResult result)
{
    return result == AttemptResult::Answered || result == AttemptResult::Cut || result == AttemptResult::CallerGone;
}

} // namespace

void Dispatcher::Impl::learnFrom(const Running &run, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions)
{
    UpstreamState *state = upstreams.find(run.upstream);
    switch (result) {
    case AttemptResult::Answered:
        times.learn(run.request.path, now - run.started);
        if (state != nullptr) {
            state->warmAnswers = std::min(state->warmAnswers + 1, kWarmAnswers);
            if (noteAnswer(state->outlier, now)) {
                state->warmAnswers = 0;
                decisions.notices.push_back({Event::UpstreamReadmitted, run.upstream});
            }
        }
        return;
    case AttemptResult::Shed:
        count(Counter::UpstreamSheds);
        if (state != nullptr && retryAfter > Duration{0}) {
            state->shedUntil = now + retryAfter;
        } else if (state != nullptr && options.sharing == Sharing::Leases) {
            SlotShares::noteShed(state->slots[run.slot], now);
        }
        return;
    case AttemptResult::ConnectFailed:
    case AttemptResult::Lost:
    case AttemptResult::Cut:
        count(Counter::UpstreamFailures);
        if (state != nullptr && noteFailure(state->outlier, mayEjectMore(upstreams.ejected(now), upstreams.listed()), random, now)) {
            decisions.notices.push_back({Event::UpstreamEjected, run.upstream});
        }
        return;
    case AttemptResult::CallerGone:
        // A caller that gave up shows that the request takes at least this long.
        if (now - run.started > times.expected(run.request.path)) {
            times.learn(run.request.path, now - run.started);
        }
        return;
    }
}

void Dispatcher::Impl::retryOrRefuse(const Running &run, AttemptResult result, Time now, Decisions &decisions)
{
    if (isSilent(result)) {
        return;
    }

    // Step 1. What may not be sent again, by its class or its number of attempts, ends here.
    const ErrorKind kind = errorOf(result);
    const bool mayHaveRun = run.mayHaveRun || result == AttemptResult::Lost;
    if (!mayRetry(service.serviceClass, result) || run.attempts + 1 >= kMostAttempts) {
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }

    // Step 2. So does what the budget does not cover.
    if (!budget.spend()) {
        count(Counter::RetriesDenied);
        decisions.notices.push_back({Event::RetryBudgetSpent, run.upstream});
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }

    // Step 3. The rest goes back into the queue, to be started after a pause and elsewhere.
    count(Counter::Retries);
    Waiting waiting{.request = run.request,
                    .latestStart = run.request.deadline - times.least(run.request.path),
                    .ready = now + retryBackoff(run.attempts, random),
                    .attempts = run.attempts + 1,
                    .avoid = run.upstream,
                    .isLong = run.isLong,
                    .mayHaveRun = mayHaveRun,
                    .lastFailure = kind};
    if (waiting.latestStart < waiting.ready) {
        refuse(run.request.id, mayHaveRun, kind, decisions);
        return;
    }
    enqueue(waiting, now, decisions);
}

void Dispatcher::Impl::refuse(RequestId request, bool mayHaveRun, ErrorKind kind, Decisions &decisions) const
{
    const bool saysNotRun = errorRow(kind).outcome != Outcome::Unknown;
    const Duration retryAfter = std::max(times.mean(), expectedWait(false, Time::max()));
    decisions.refusals.push_back({request, mayHaveRun && saysNotRun ? ErrorKind::UpstreamLost : kind, retryAfter});
}

} // namespace medlarway
