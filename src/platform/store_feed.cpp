#include "platform/store_feed.h"

#include "base/errors.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

constexpr std::string_view kConfigKey = "op/config";
constexpr std::string_view kConfigPrefix = "op/";
constexpr std::string_view kUpstreamPrefix = "servers/";

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusHistoryGone = 410;

// How long the store may hold a watch of the upstreams. Their heartbeats end it far earlier.
constexpr std::chrono::milliseconds kUpstreamWait{1000};

constexpr std::uint32_t kMostDoublings = 8;

Time now()
{
    return std::chrono::steady_clock::now();
}

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
    , config_(context, options.address)
    , upstreams_(context, options.address)
{
}

void StoreFeed::start()
{
    running_ = true;
    asio::co_spawn(context_, followConfig(), asio::detached);
    asio::co_spawn(context_, followUpstreams(), asio::detached);
}

void StoreFeed::stop()
{
    running_ = false;
    for (auto *follower : {&config_, &upstreams_}) {
        follower->connection.close();
        follower->timer.cancel();
    }
}

// The configuration changes seldom and must be in force soon, so the store holds the watch.
asio::awaitable<void> StoreFeed::followConfig()
{
    while (running_) {
        const bool good = config_.asOf == 0 ? co_await readWhole(config_, std::string(kConfigPrefix))
                                            : co_await watch(config_, std::string(kConfigPrefix), options_.configWait);
        if (!good) {
            co_await pause(config_, backOff(config_));
        }
    }
}

// Each upstream writes several times in each second or two, and every write would wake a watch that is held. What has
// changed is therefore fetched at a steady pace.
asio::awaitable<void> StoreFeed::followUpstreams()
{
    while (running_) {
        const bool good = upstreams_.asOf == 0 ? co_await readWhole(upstreams_, std::string(kUpstreamPrefix))
                                               : co_await watch(upstreams_, std::string(kUpstreamPrefix), kUpstreamWait);
        co_await pause(upstreams_, good ? options_.pace : backOff(upstreams_));
    }
}

// Pages are no snapshot: watching goes on from the first page's revision, so that nothing between two pages is missed.
asio::awaitable<bool> StoreFeed::readWhole(Follower &follower, std::string prefix)
{
    std::vector<std::string> ids;
    std::uint64_t asOf = 0;
    std::string after;
    for (bool more = true; more;) {
        auto target = fmt::format("/v1/kv-range?prefix={}", prefix);
        if (!after.empty()) {
            target += "&after=" + after;
        }
        const auto reply = co_await follower.connection.get(target, options_.answerTimeout);
        const auto answer = reply && reply->status == kStatusOk ? decodeStoreAnswer(reply->body) : std::nullopt;
        if (!answer) {
            co_return noteFailure(follower, fmt::format("reading {}: status {}", prefix, reply ? reply->status : 0));
        }
        asOf = asOf == 0 ? answer->asOf : asOf;
        for (const auto &item : answer->items) {
            take(item);
            if (item.key.starts_with(kUpstreamPrefix)) {
                ids.push_back(item.key.substr(kUpstreamPrefix.size()));
            }
        }
        more = answer->hasMore && !answer->items.empty();
        after = answer->items.empty() ? "" : answer->items.back().key;
    }
    if (prefix == kUpstreamPrefix) {
        sink_.whole(ids, asOf);
    }
    follower.asOf = asOf;
    noteSuccess(follower);
    co_return true;
}

asio::awaitable<bool> StoreFeed::watch(Follower &follower, std::string prefix, Duration wait)
{
    const auto target = fmt::format("/v1/kv-watch?prefix={}&after={}&wait-ms={}", prefix, follower.asOf, milliseconds(wait));
    const auto reply = co_await follower.connection.get(target, wait + options_.answerTimeout);
    if (reply && reply->status == kStatusHistoryGone) {
        follower.asOf = 0;
        co_return true;
    }
    const auto answer = reply && reply->status == kStatusOk ? decodeStoreAnswer(reply->body) : std::nullopt;
    if (!answer) {
        co_return noteFailure(follower, fmt::format("watching {}: status {}", prefix, reply ? reply->status : 0));
    }
    for (const auto &item : answer->items) {
        take(item);
    }
    follower.asOf = std::max(follower.asOf, answer->asOf);
    noteSuccess(follower);
    co_return true;
}

asio::awaitable<void> StoreFeed::pause(Follower &follower, Duration duration)
{
    follower.timer.expires_after(std::chrono::duration_cast<std::chrono::steady_clock::duration>(duration));
    co_await follower.timer.async_wait(kWaitForCompletion);
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

void StoreFeed::noteSuccess(Follower &follower)
{
    follower.heardAt = now();
    if (follower.failures > 0) {
        logEvent(Event::PlatformRecovered, {field("failures", follower.failures)});
    }
    follower.failures = 0;
}

bool StoreFeed::noteFailure(Follower &follower, const std::string &detail)
{
    ++follower.failures;
    reportError(ErrorKind::PlatformUnreachable, detail);
    return false;
}

// Doubles, with jitter so that hosts don't come back together.
Duration StoreFeed::backOff(const Follower &follower)
{
    const auto doubled = options_.shortestBackOff * (1U << std::min(follower.failures, kMostDoublings));
    const auto longest = std::min(options_.longestBackOff, doubled);
    return std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * random_.unit()));
}

} // namespace medlarway
