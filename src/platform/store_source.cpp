#include "platform/store_source.h"

#include "base/errors.h"
#include "base/random.h"
#include "platform/platform_value.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;

constexpr auto kRedeliverInterval = std::chrono::milliseconds{100};
constexpr auto kUnwaitedPause = std::chrono::seconds{1};
constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

// One key that is watched, with its own connection.
struct KeyWatch {
    KeyWatch(asio::io_context &context, const Endpoint &store, const WatchedKey &watched)
        : key(watched.key)
        , revision(watched.knownRevision)
        , asOf(watched.knownRevision)
        , client(context, store)
        , timer(context)
    {
    }

    std::string key;
    std::uint64_t revision; ///< the highest that was read or is known from elsewhere
    std::uint64_t asOf; ///< of the store; changes after it are watched for, 0: the item must be read
    bool active = true;
    std::uint32_t failures = 0; ///< in a row
    std::string refusal; ///< what was wrong with the latest value; empty where it was delivered
    std::optional<PlatformUpdate> undelivered;
    StoreClient client;
    asio::steady_timer timer;
};

class StoreSource : public PlatformSource
{
public:
    StoreSource(asio::io_context &context, const StoreSourceOptions &options, PlatformSink sink)
        : context_(context)
        , options_(options)
        , sink_(std::move(sink))
        , random_(options.seed)
    {
    }

    void start() override
    {
        started_ = true;
        for (const auto &[key, watch] : watches_) {
            spawn(watch);
        }
    }

    void setWatchedKeys(const std::vector<WatchedKey> &keys) override;
    void stop() override;
    std::string stateAsJson() const override;

private:
    using Watch = std::shared_ptr<KeyWatch>;

    void spawn(const Watch &watch);
    static void end(KeyWatch &watch);
    asio::awaitable<void> run(Watch watch);
    asio::awaitable<void> redeliver(Watch watch);
    asio::awaitable<StoreReply> read(Watch watch);
    Duration take(KeyWatch &watch, const StoreReply &reply, Duration elapsed);
    Duration takeItem(KeyWatch &watch, ReadItem item);
    Duration takeFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail);
    void takeSuccess(KeyWatch &watch);

    asio::io_context &context_;
    StoreSourceOptions options_;
    PlatformSink sink_;
    Random random_;
    bool started_ = false;
    bool reachable_ = true;
    std::map<std::string, Watch> watches_;
};

// Keys that stay keep their connection and what they know; a revision known from elsewhere only raises it.
void StoreSource::setWatchedKeys(const std::vector<WatchedKey> &keys)
{
    std::map<std::string, Watch> next;
    for (const auto &watched : keys) {
        const auto known = watches_.find(watched.key);
        if (known != watches_.end()) {
            known->second->revision = std::max(known->second->revision, watched.knownRevision);
            next.insert(*known);
            continue;
        }
        const auto added = next.emplace(watched.key, std::make_shared<KeyWatch>(context_, options_.address, watched));
        if (added.second && started_) {
            spawn(added.first->second);
        }
    }
    for (const auto &[key, watch] : watches_) {
        if (!next.contains(key)) {
            end(*watch);
        }
    }
    watches_ = std::move(next);
}

void StoreSource::stop()
{
    for (const auto &[key, watch] : watches_) {
        end(*watch);
    }
    watches_.clear();
    started_ = false;
}

void StoreSource::spawn(const Watch &watch)
{
    asio::co_spawn(context_, run(watch), asio::detached);
}

void StoreSource::end(KeyWatch &watch)
{
    watch.active = false;
    watch.client.close();
    watch.timer.cancel();
}

// Reads one key over and over until it is watched no longer.
asio::awaitable<void> StoreSource::run(Watch watch)
{
    while (watch->active) {
        const auto begun = monotonicNow();
        const auto reply = co_await read(watch);
        if (!watch->active) {
            break;
        }
        const auto pause = take(*watch, reply, monotonicNow() - begun);
        co_await redeliver(watch);
        if (!watch->active) {
            break;
        }
        watch->timer.expires_after(toSteady(pause));
        co_await watch->timer.async_wait(kWaitForCompletion);
    }
}

// Offers what was read until the control thread has room for it.
asio::awaitable<void> StoreSource::redeliver(Watch watch)
{
    while (watch->active && watch->undelivered) {
        if (sink_(*watch->undelivered)) {
            watch->undelivered.reset();
            break;
        }
        watch->timer.expires_after(kRedeliverInterval);
        co_await watch->timer.async_wait(kWaitForCompletion);
    }
}

asio::awaitable<StoreReply> StoreSource::read(Watch watch)
{
    const auto timeout = answerTimeoutAfter(watch->failures, options_.patience);
    if (watch->asOf == 0) {
        co_return co_await watch->client.item(watch->key, timeout);
    }
    co_return co_await watch->client.watch(watch->key, watch->asOf, options_.wait, timeout);
}

// Takes what was read; gives the pause before the next read of the key.
Duration StoreSource::take(KeyWatch &watch, const StoreReply &reply, Duration elapsed)
{
    // Step 1. Failures.
    if (reply.status == kStoreHistoryGone && watch.asOf != 0) {
        watch.asOf = 0;
        return options_.readInterval;
    }
    if (reply.status == 0) {
        return takeFailure(watch, ErrorKind::PlatformUnreachable, fmt::format("no answer for key {}", watch.key));
    }
    if (!reply.answer) {
        return takeFailure(watch, ErrorKind::PlatformBadAnswer, fmt::format("key {}: status {}", watch.key, reply.status));
    }
    // Step 2. The key's item, read or changed.
    const bool wasRead = watch.asOf == 0;
    const bool advanced = reply.answer->asOf > watch.asOf;
    if (const auto *item = lastOfKey(*reply.answer, watch.key)) {
        auto read = readItem(*item, watch.revision);
        if (read.kind != ItemKind::Stale) {
            watch.asOf = std::max(watch.asOf, reply.answer->asOf);
        }
        return takeItem(watch, std::move(read));
    }
    if (wasRead) {
        return takeFailure(watch, ErrorKind::PlatformBadAnswer, fmt::format("key {}: the answer is another key's", watch.key));
    }
    // Step 3. Nothing of this key. A store that doesn't hold the watch would else be asked without end.
    takeSuccess(watch);
    watch.asOf = std::max(watch.asOf, reply.answer->asOf);
    return elapsed < options_.wait / 2 && !advanced ? Duration{kUnwaitedPause} : options_.readInterval;
}

Duration StoreSource::takeItem(KeyWatch &watch, ReadItem item)
{
    const auto detail = fmt::format("key {}: {}", watch.key, item.detail);
    switch (item.kind) {
    case ItemKind::Stale:
        return takeFailure(watch, ErrorKind::StaleRevision, detail);
    case ItemKind::Refused:
        takeSuccess(watch);
        watch.revision = item.revision;
        watch.refusal = item.detail;
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(detail));
        break;
    case ItemKind::Newer:
        takeSuccess(watch);
        watch.revision = item.revision;
        watch.refusal.clear();
        watch.undelivered = std::move(item.update);
        break;
    case ItemKind::NotNewer:
        takeSuccess(watch);
        break;
    }
    return options_.readInterval;
}

Duration StoreSource::takeFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail)
{
    reportError(kind, detail);
    if (kind == ErrorKind::PlatformUnreachable) {
        reachable_ = false;
    }
    const auto rest = backOffAfter(watch.failures, options_.patience, random_);
    ++watch.failures;
    return std::max(options_.readInterval, rest);
}

void StoreSource::takeSuccess(KeyWatch &watch)
{
    watch.failures = 0;
    if (!std::exchange(reachable_, true)) {
        logEvent(Event::PlatformRecovered, {field("address", endpointToString(options_.address))});
    }
}

std::string StoreSource::stateAsJson() const
{
    nlohmann::json keys = nlohmann::json::array();
    for (const auto &[key, watch] : watches_) {
        keys.push_back({{"key", key}, {"revision", watch->revision}, {"failures", watch->failures}, {"refusal", watch->refusal}});
    }
    const nlohmann::json state{
        {"source", "store"}, {"address", endpointToString(options_.address)}, {"reachable", reachable_}, {"keys", keys}};
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

ReadItem readItem(const StoreItem &item, std::uint64_t knownRevision)
{
    ReadItem read;
    read.revision = item.revision;
    if (item.revision == knownRevision) {
        return read;
    }
    if (item.revision < knownRevision) {
        read.kind = ItemKind::Stale;
        read.detail = fmt::format("revision {} after {}", item.revision, knownRevision);
        return read;
    }
    if (item.deleted) {
        read.kind = ItemKind::Refused;
        read.detail = fmt::format("removed at revision {}", item.revision);
        return read;
    }
    auto parsed = parsePlatformValue(item.key, item.revision, item.value);
    read.kind = parsed.value ? ItemKind::Newer : ItemKind::Refused;
    read.update = std::move(parsed.value);
    read.detail = faultsToString(parsed.faults);
    return read;
}

const StoreItem *lastOfKey(const StoreAnswer &answer, std::string_view key)
{
    const StoreItem *last = nullptr;
    for (const auto &item : answer.items) {
        if (item.key == key && (last == nullptr || item.revision >= last->revision)) {
            last = &item;
        }
    }
    return last;
}

std::unique_ptr<PlatformSource> makeStoreSource(asio::io_context &context, const StoreSourceOptions &options, PlatformSink sink)
{
    return std::make_unique<StoreSource>(context, options, std::move(sink));
}

} // namespace medlarway
