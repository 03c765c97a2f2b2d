#include "platform/store_feed.h"

#include "base/counters.h"
#include "base/errors.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kConfigKey = "op/config";
constexpr std::string_view kUpstreamPrefix = "servers/";

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusHistoryGone = 410;

constexpr std::uint32_t kMostDoublings = 8;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

StoreFeed::StoreFeed(asio::io_context &context, const StoreFeedOptions &options, StoreFeedSink sink)
    : context_(context)
    , options_(options)
    , sink_(std::move(sink))
    , random_(options.seed)
    , connection_(context, options.address)
    , timer_(context)
{
}

void StoreFeed::start()
{
    running_ = true;
    asio::co_spawn(context_, follow(), asio::detached);
}

void StoreFeed::stop()
{
    running_ = false;
    connection_.close();
    timer_.cancel();
}

// One watch covers everything that is published, as each call has a price. The store holds it until something changes;
// a burst of changes is taken in a few answers.
asio::awaitable<void> StoreFeed::follow()
{
    while (running_) {
        const bool good = asOf_ == 0 ? co_await readPage() : co_await watch();
        const auto rest = good ? (changed_ ? options_.pace : Duration{}) : backOff();
        if (rest > Duration{}) {
            timer_.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(rest));
            co_await timer_.async_wait(kWaitForCompletion);
        }
    }
}

// Reads the next page. Pages are no snapshot: watching goes on from the first page's revision, so that nothing between two
// pages is missed. A refused page alone is asked for again: many hosts that start at once would else never get to the end.
asio::awaitable<bool> StoreFeed::readPage()
{
    count(Counter::PlatformReads);
    const auto target = "/v1/kv-range?prefix=" + (reading_.after.empty() ? "" : "&after=" + reading_.after);
    const auto reply = co_await connection_.get(target, answerTimeout());
    const auto answer = reply && reply->status == kStatusOk ? decodeStoreAnswer(reply->body) : std::nullopt;
    if (!answer) {
        co_return noteFailure("read", reply ? reply->status : 0);
    }
    if (asOf_ != 0) {
        co_return true; // another host has told everything meanwhile
    }
    reading_.asOf = reading_.asOf == 0 ? answer->asOf : reading_.asOf;
    for (const auto &item : answer->items) {
        take(item);
        if (item.key.starts_with(kUpstreamPrefix)) {
            reading_.ids.push_back(item.key.substr(kUpstreamPrefix.size()));
        }
    }
    if (answer->hasMore && !answer->items.empty()) {
        reading_.after = answer->items.back().key;
        failures_ /= 2; // the store's rate is still shared with the others that read now
        co_return true;
    }
    const auto whole = std::exchange(reading_, {});
    sink_.whole(whole.ids, whole.asOf);
    noteSuccess(whole.asOf, true);
    co_return true;
}

void StoreFeed::adopt(std::uint64_t asOf)
{
    if (asOf_ == 0) {
        asOf_ = asOf;
        reading_ = {};
    }
}

asio::awaitable<bool> StoreFeed::watch()
{
    const auto target = fmt::format("/v1/kv-watch?prefix=&after={}&wait-ms={}", asOf_, milliseconds(options_.wait));
    count(Counter::PlatformReads);
    const auto reply = co_await connection_.get(target, options_.wait + answerTimeout());
    if (reply && reply->status == kStatusHistoryGone) {
        asOf_ = 0;
        changed_ = false;
        co_return true;
    }
    const auto answer = reply && reply->status == kStatusOk ? decodeStoreAnswer(reply->body) : std::nullopt;
    if (!answer) {
        co_return noteFailure("watch", reply ? reply->status : 0);
    }
    for (const auto &item : answer->items) {
        take(item);
    }
    noteSuccess(std::max(asOf_, answer->asOf), !answer->items.empty());
    co_return true;
}

// An entry that can't be read names no upstream to use, whatever it said before.
void StoreFeed::take(const StoreItem &item)
{
    if (item.key == kConfigKey) {
        if (const auto config = item.deleted ? std::nullopt : decodeConfig(item.value)) {
            sink_.config(*config);
        } else {
            reportError(ErrorKind::BadCatalogue, fmt::format("{} at revision {} can't be read", item.key, item.revision));
        }
        return;
    }
    if (!item.key.starts_with(kUpstreamPrefix)) {
        return;
    }
    const auto id = item.key.substr(kUpstreamPrefix.size());
    const auto entry = item.deleted ? std::nullopt : decodeUpstream(id, item.value, item.revision);
    if (entry) {
        sink_.upstream(*entry);
    } else {
        sink_.gone(id, item.revision);
    }
}

void StoreFeed::noteSuccess(std::uint64_t asOf, bool changed)
{
    asOf_ = asOf;
    changed_ = changed;
    heardAt_ = std::chrono::steady_clock::now();
    if (failures_ > 0) {
        logEvent(Event::PlatformRecovered, {field("failures", failures_), field("revision", asOf)});
    }
    failures_ = 0;
}

bool StoreFeed::noteFailure(std::string_view call, unsigned status)
{
    ++failures_;
    reportError(ErrorKind::PlatformUnreachable, fmt::format("{}: {}", call, status == 0 ? "no answer" : fmt::format("status {}", status)));
    return false;
}

// A store that answers slowly is given more time, else none of its answers would ever be taken.
Duration StoreFeed::answerTimeout() const
{
    return std::min(options_.longestAnswerTimeout, options_.answerTimeout * (1U << std::min(failures_, kMostDoublings)));
}

// Doubles, with jitter so that hosts don't come back together.
Duration StoreFeed::backOff()
{
    const auto doubled = options_.shortestBackOff * (1U << std::min(failures_, kMostDoublings));
    const auto longest = std::min(options_.longestBackOff, doubled);
    return std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * random_.unit()));
}

} // namespace medlarway
