#include "platform/store_feed.h"

#include "base/completion.h"
#include "base/contained.h"
#include "base/errors.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

constexpr std::string_view kConfigKey = "op/config";
constexpr std::string_view kUpstreamPrefix = "servers/";
constexpr std::string_view kEvacuationPrefix = "op/evacuate/";

} // namespace

StoreFeed::StoreFeed(asio::io_context &context, const StoreFeedOptions &options, StoreFeedSink sink)
    : context_(context)
    , options_(options)
    , sink_(std::move(sink))
    , random_(options.seed)
    , client_(context, options.address)
    , timer_(context)
{
}

void StoreFeed::start()
{
    running_ = true;
    spawnDuty(context_, "reading the store", [this] { return run(); });
}

void StoreFeed::reconnect()
{
    reconnecting_ = true;
    confirmNext_ = true;
    client_.close();
    timer_.cancel();
}

void StoreFeed::stop()
{
    running_ = false;
    client_.close();
    timer_.cancel();
}

// A single watch covers all keys, since the platform charges for each call. The store holds it until something changes. The pause after
// changes lets a burst of changes arrive in a few responses.
//
// After an exception the connection may be amid a response.
asio::awaitable<void> StoreFeed::run()
{
    client_.close();
    resting_ = false;
    while (running_) {
        if (!reading_) {
            co_await waitUntilReading();
            continue;
        }
        const bool succeeded = co_await runNextStep();
        if (!std::exchange(reconnecting_, false)) {
            co_await rest(succeeded);
        }
    }
}

// Also a store that holds no watch, or that refuses again and again what follows from its own responses, is not called in a busy loop.
Duration StoreFeed::pauseAfterStep(bool succeeded)
{
    if (!succeeded) {
        return backoffAfter(failures_, options_.timeouts, random_);
    }
    if (std::exchange(restarted_, false) && restarts_ > 1) {
        return backoffAfter(restarts_ - 1, options_.timeouts, random_);
    }
    return changed_ || early_ ? options_.pace.pauseAfterChanges : Duration{};
}

asio::awaitable<void> StoreFeed::rest(bool succeeded)
{
    const auto pause = pauseAfterStep(succeeded);
    if (pause > Duration{}) {
        resting_ = succeeded;
        restStartedAt_ = monotonicNow();
        timer_.expires_after(toSteady(pause));
        co_await timer_.async_wait(kWaitForCompletion);
        resting_ = false;
    }
}

asio::awaitable<void> StoreFeed::waitUntilReading()
{
    timer_.expires_at(std::chrono::steady_clock::time_point::max());
    co_await timer_.async_wait(kWaitForCompletion);
}

void StoreFeed::setReading(bool reading)
{
    if (std::exchange(reading_, reading) == reading) {
        return;
    }
    if (reading) {
        confirmNext_ = true;
        timer_.cancel();
    }
}

void StoreFeed::setPace(const WatchPace &pace)
{
    options_.pace = pace;
    if (resting_ && monotonicNow() - restStartedAt_ >= pace.pauseAfterChanges) {
        timer_.cancel();
    }
}

asio::awaitable<bool> StoreFeed::runNextStep()
{
    callStartedAt_ = monotonicNow();
    callStartedSinceBoot_ = timeSinceBoot();
    early_ = false;
    if (isKnown(asOf_)) {
        co_return co_await watch();
    }
    if (fullRead_.allPagesRead) {
        co_return co_await catchUp();
    }
    co_return co_await readPage();
}

// Reads the next page. Pages may be seconds old and together form no consistent snapshot, so catchUp() then fetches the changes since the
// oldest page. Stale reads do not count against the store's rate limit, which all hosts share, also those that start together. After a
// failure only the failed page is requested again.
asio::awaitable<bool> StoreFeed::readPage()
{
    const auto result = co_await client_.page("", fullRead_.after, consistency_, responseTimeoutAfter(failures_, options_.timeouts));
    recordEra(result);
    if (!result.response) {
        co_return recordFailure("read", result.status);
    }
    if (isKnown(asOf_)) {
        co_return true; // resumeFrom() made the full read unnecessary during the call
    }
    const auto &response = *result.response;
    const Revision pageAsOf{result.era, response.asOf};
    if (isKnown(fullRead_.asOf) && fullRead_.asOf.era != result.era) {
        restartFullRead();
        co_return true;
    }
    fullRead_.asOf = isKnown(fullRead_.asOf) ? std::min(fullRead_.asOf, pageAsOf) : pageAsOf;
    for (const auto &item : response.items) {
        offer(item, result.era);
        if (item.key.starts_with(kUpstreamPrefix)) {
            fullRead_.ids.push_back(item.key.substr(kUpstreamPrefix.size()));
        }
    }
    repeating_ = false;
    failures_ /= 2; // not reset to 0: other hosts' reads may still overload the store
    fullRead_.allPagesRead = !response.hasMore || response.items.empty();
    if (!fullRead_.allPagesRead) {
        fullRead_.after = response.items.back().key;
    }
    co_return true;
}

// Completes the full read with the changes since its oldest page. If the store no longer has that history, or the pages come from a history
// that it has lost, they are read again with the latest data.
asio::awaitable<bool> StoreFeed::catchUp()
{
    const auto after = fullRead_.asOf;
    const auto result = co_await client_.watch("", after.number, kMinWait, responseTimeoutAfter(failures_, options_.timeouts));
    recordEra(result);
    if (isKnown(asOf_)) {
        co_return true; // resumeFrom() made the full read unnecessary during the call
    }
    const bool otherHistory = result.response && (result.era != after.era || result.response->asOf < after.number);
    if (result.tooLarge) {
        reportTooLarge(after);
        restartFullRead();
        changed_ = true; // the changes come too fast to follow: rest before the next attempt
        co_return true;
    }
    if (result.status == kStatusHistoryExpired || otherHistory) {
        restartFullRead();
        co_return true;
    }
    if (!result.response) {
        co_return recordFailure("watch", result.status);
    }
    sink_.complete(fullRead_.ids, fullRead_.evacuations, fullRead_.asOf);
    asOf_ = std::exchange(fullRead_, {}).asOf;
    co_return applyChanges(result, kMinWait);
}

void StoreFeed::restartFullRead()
{
    asOf_ = {};
    fullRead_ = {};
    consistency_ = ReadConsistency::Latest;
    changed_ = false;
    restarted_ = true;
    ++restarts_;
}

void StoreFeed::resumeFrom(const Revision &asOf)
{
    if (!isKnown(asOf_)) {
        fullRead_ = {};
    }
    asOf_ = std::max(asOf_, asOf);
}

// Changes that exceed the limit of a response will not become fewer: the current data is read instead, whose pages are smaller.
//
// After a failure the store is asked for an immediate response: while it may hold the call, a lost call can't be told from one without
// news. A response with changes confirms the data as of its call only, so the next one must not take as long.
Duration StoreFeed::nextWait(Time now) const
{
    const auto confirmBy = confirmedAt_ + options_.pace.pauseAfterChanges + options_.pace.wait;
    const auto wait = std::clamp(confirmBy - now, kMinWait, std::max(kMinWait, options_.pace.wait));
    return failures_ > 0 ? kMinWait : Duration{std::chrono::duration_cast<std::chrono::milliseconds>(wait)};
}

asio::awaitable<bool> StoreFeed::watch()
{
    const bool atOnce = std::exchange(confirmNext_, false);
    const auto wait = atOnce ? kMinWait : nextWait(callStartedAt_);
    const auto after = asOf_;
    const auto result = co_await client_.watch("", after.number, wait, responseTimeoutAfter(failures_, options_.timeouts));
    recordEra(result);
    if (asOf_.era != after.era) {
        co_return true; // resumeFrom() led to a later era during the call, whose result tells nothing of that
    }
    // The number that was asked for may stand for another change in the response's era, so changes before it may be missing.
    const bool otherHistory = result.response && result.era != after.era;
    if (result.tooLarge) {
        reportTooLarge(after);
    }
    if (result.status == kStatusHistoryExpired || otherHistory || result.tooLarge) {
        restartFullRead();
        co_return true;
    }
    early_ = wait > kMinWait && result.response && result.response->items.empty() && monotonicNow() - callStartedAt_ < wait / 2;
    eager_ = eager_ || early_;
    co_return result.response ? applyChanges(result, wait) : recordFailure("watch", result.status);
}

bool StoreFeed::applyChanges(const StoreResult &result, Duration wait)
{
    const auto confirmedAt = provenTime(result, wait);
    for (const auto &item : result.response->items) {
        offer(item, result.era);
    }
    recordSuccess(std::max(asOf_, Revision{result.era, result.response->asOf}), !result.response->items.empty(), confirmedAt);
    return true;
}

// A response may have been held up on its way, so its arrival proves nothing. The store formed it after the call; one without changes at
// the end of the wait, unless the store does not hold watches.
Time StoreFeed::provenTime(const StoreResult &result, Duration wait) const
{
    const auto elapsed = timeSinceBoot() - callStartedSinceBoot_;
    const bool wasHeld = result.response->items.empty() && !eager_ && elapsed >= wait;
    return monotonicNow() - (wasHeld ? elapsed - wait : elapsed);
}

// An item that can't be applied is offered again with all others of its response. If it fails again, it is left out, so that the others and
// later changes are applied.
void StoreFeed::offer(const StoreItem &item, std::uint64_t era)
{
    try {
        apply(item, era);
    } catch (...) {
        if (!std::exchange(repeating_, true)) {
            throw;
        }
        reportFault(fmt::format("{} at revision {}", item.key, item.revision), std::current_exception());
    }
}

// An invalid entry removes the upstream, even if an earlier revision of the entry was valid.
void StoreFeed::apply(const StoreItem &item, std::uint64_t era)
{
    const Revision revision{era, item.revision};
    if (item.key == kConfigKey) {
        if (const auto config = item.deleted ? std::nullopt : decodeConfig(item.value)) {
            sink_.config(*config);
        } else {
            reportError(ErrorKind::BadCatalogue, fmt::format("{} at revision {} can't be read", item.key, item.revision));
        }
        return;
    }
    if (item.key.starts_with(kEvacuationPrefix)) {
        applyEvacuation(item, revision);
        return;
    }
    if (!item.key.starts_with(kUpstreamPrefix)) {
        return;
    }
    const auto id = item.key.substr(kUpstreamPrefix.size());
    const auto entry = item.deleted ? std::nullopt : decodeUpstream(id, item.value, revision);
    if (entry) {
        sink_.upstream(*entry);
        return;
    }
    if (!item.deleted) {
        reportError(ErrorKind::BadUpstreamEntry, fmt::format("{} at revision {} names no upstream: '{}' is missing or invalid", item.key,
                                                             item.revision, invalidUpstreamField(id, item.value)));
    }
    sink_.removed(id, revision);
}

// An invalid value ends the evacuation, even if an earlier revision of the value was valid.
void StoreFeed::applyEvacuation(const StoreItem &item, const Revision &revision)
{
    const auto zone = std::string_view(item.key).substr(kEvacuationPrefix.size());
    const auto evacuation = decodeEvacuation(zone, item.deleted ? "" : item.value, revision);
    if (!evacuation.active && !item.deleted) {
        reportError(ErrorKind::BadEvacuation,
                    fmt::format("{:.300} at revision {} evacuates no zone: the value must be a JSON object and the "
                                "zone's name have 1 to {} bytes",
                                item.key, item.revision, kMaxZoneBytes));
    }
    if (evacuation.active && !isKnown(asOf_)) {
        fullRead_.evacuations.push_back(evacuation);
    }
    sink_.evacuation(evacuation);
}

void StoreFeed::recordEra(const StoreResult &result)
{
    if (result.era <= era_) {
        return;
    }
    if (era_ != 0) {
        logEvent(Event::PlatformRestored,
                 {field("era", result.era), field("before", era_), field("revision-before", revisionToString(asOf_)),
                  field("status", result.status), field("revision", result.response ? result.response->asOf : 0)});
    }
    era_ = result.era;
}

void StoreFeed::reportTooLarge(const Revision &after)
{
    reportError(ErrorKind::PlatformBadAnswer, fmt::format("watch after revision {}: the changes exceed {} bytes, the current data is read",
                                                          revisionToString(after), kMaxBodyBytes));
}

void StoreFeed::recordSuccess(const Revision &asOf, bool changed, Time confirmedAt)
{
    const auto now = monotonicNow();
    if (failures_ > 0) {
        const auto silence = lastResponseAt_ == Time{} ? Duration{} : now - lastResponseAt_;
        logEvent(Event::PlatformRecovered,
                 {field("failures", failures_), field("revision", revisionToString(asOf)), field("silent-ms", inMilliseconds(silence))});
    }
    asOf_ = asOf;
    changed_ = changed;
    lastResponseAt_ = now;
    confirmedAt_ = std::max(confirmedAt_, confirmedAt);
    failures_ = 0;
    restarts_ = 0;
    repeating_ = false;
    if (sink_.confirmed) {
        sink_.confirmed();
    }
}

bool StoreFeed::recordFailure(std::string_view call, unsigned status)
{
    if (reconnecting_) {
        return false; // the call failed because reconnect() closed the connection
    }
    ++failures_;
    reportError(ErrorKind::PlatformUnreachable, fmt::format("{} after revision {}: {} after {} ms", call, revisionToString(asOf_),
                                                            status == 0 ? "no response" : fmt::format("status {}", status),
                                                            inMilliseconds(monotonicNow() - callStartedAt_)));
    if (sink_.failed) {
        sink_.failed();
    }
    return false;
}

} // namespace medlarway
