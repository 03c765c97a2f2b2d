#include "platform/store_feed.h"

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

// The store answers at once what changed since a revision; the shortest wait that it takes.
constexpr Duration kNoWait = std::chrono::milliseconds{1};

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
    asio::co_spawn(context_, follow(), asio::detached);
}

void StoreFeed::reconnect()
{
    reconnects_ = true;
    client_.close();
    timer_.cancel();
}

void StoreFeed::stop()
{
    running_ = false;
    client_.close();
    timer_.cancel();
}

// One watch covers everything that is published, as each call has a price. The store holds it until something changes;
// a burst of changes is taken in a few answers.
asio::awaitable<void> StoreFeed::follow()
{
    while (running_) {
        const bool good = co_await step();
        if (std::exchange(reconnects_, false)) {
            continue;
        }
        const auto rest = good ? (changed_ ? options_.pace : Duration{}) : backOffAfter(failures_, options_.patience, random_);
        if (rest > Duration{}) {
            timer_.expires_after(toSteady(rest));
            co_await timer_.async_wait(kWaitForCompletion);
        }
    }
}

asio::awaitable<bool> StoreFeed::step()
{
    if (asOf_ != 0) {
        co_return co_await watch();
    }
    if (reading_.paged) {
        co_return co_await catchUp();
    }
    co_return co_await readPage();
}

// Reads the next page. Pages may be seconds old and are no snapshot: what changed since the oldest one is read after them, so that nothing
// is missed. Such pages are outside the store's rate, which hosts that start together would else share. A refused page alone is asked for
// again.
asio::awaitable<bool> StoreFeed::readPage()
{
    const auto reply = co_await client_.page("", reading_.after, freshness_, answerTimeoutAfter(failures_, options_.patience));
    if (!reply.answer) {
        co_return noteFailure("read", reply.status);
    }
    if (asOf_ != 0) {
        co_return true; // another host has told everything meanwhile
    }
    const auto &answer = *reply.answer;
    reading_.asOf = reading_.asOf == 0 ? answer.asOf : std::min(reading_.asOf, answer.asOf);
    for (const auto &item : answer.items) {
        take(item);
        if (item.key.starts_with(kUpstreamPrefix)) {
            reading_.ids.push_back(item.key.substr(kUpstreamPrefix.size()));
        }
    }
    failures_ /= 2; // the store may still be busy with others that read now
    reading_.paged = !answer.hasMore || answer.items.empty();
    if (!reading_.paged) {
        reading_.after = answer.items.back().key;
    }
    co_return true;
}

// Only what the store says now ends the reading. Where that history is gone, the pages were too old: they are read again, new ones now.
asio::awaitable<bool> StoreFeed::catchUp()
{
    const auto reply = co_await client_.watch("", reading_.asOf, kNoWait, answerTimeoutAfter(failures_, options_.patience));
    if (asOf_ != 0) {
        co_return true; // another host has told everything meanwhile
    }
    if (reply.status == kStoreHistoryGone) {
        freshness_ = Freshness::Latest;
        reading_ = {};
        co_return true;
    }
    if (!reply.answer) {
        co_return noteFailure("watch", reply.status);
    }
    const auto whole = std::exchange(reading_, {});
    asOf_ = whole.asOf;
    sink_.whole(whole.ids, whole.asOf);
    co_return takeChanges(reply);
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
    const auto reply = co_await client_.watch("", asOf_, options_.wait, answerTimeoutAfter(failures_, options_.patience));
    if (reply.status == kStoreHistoryGone) {
        asOf_ = 0;
        freshness_ = Freshness::Latest;
        changed_ = false;
        co_return true;
    }
    co_return reply.answer ? takeChanges(reply) : noteFailure("watch", reply.status);
}

bool StoreFeed::takeChanges(const StoreReply &reply)
{
    for (const auto &item : reply.answer->items) {
        take(item);
    }
    noteSuccess(std::max(asOf_, reply.answer->asOf), !reply.answer->items.empty());
    return true;
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
    heardAt_ = monotonicNow();
    if (failures_ > 0) {
        logEvent(Event::PlatformRecovered, {field("failures", failures_), field("revision", asOf)});
    }
    failures_ = 0;
}

bool StoreFeed::noteFailure(std::string_view call, unsigned status)
{
    if (reconnects_) {
        return false; // no fault of the store's
    }
    ++failures_;
    reportError(ErrorKind::PlatformUnreachable, fmt::format("{}: {}", call, status == 0 ? "no answer" : fmt::format("status {}", status)));
    return false;
}

} // namespace medlarway
