#include "platform/store_source.h"

#include "base/completion.h"
#include "base/contained.h"
#include "base/errors.h"
#include "base/random.h"
#include "platform/platform_value.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
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
constexpr auto kEarlyResponsePause = std::chrono::seconds{1};

// A watched key and its own connection to the store.
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
    std::uint64_t revision; ///< highest revision read here or passed by setWatchedKeys()
    std::uint64_t asOf; ///< store revision after which changes are watched for; 0: the item must be read first
    std::uint64_t era = 0; ///< of the store's data when asOf was read; 0 before the first response
    bool active = true;
    std::uint32_t failures = 0; ///< consecutive failures
    std::string refusal; ///< why the latest value was refused; empty if it was valid
    std::optional<PlatformUpdate> undelivered; ///< valid value that the sink has not accepted yet
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
    static void cancel(KeyWatch &watch);
    asio::awaitable<void> run(Watch watch);
    asio::awaitable<void> deliver(Watch watch);
    asio::awaitable<StoreResult> read(Watch watch);
    static bool startsEra(KeyWatch &watch, const StoreResult &result);
    Duration processResult(KeyWatch &watch, const StoreResult &result, Duration elapsed);
    Duration processItem(KeyWatch &watch, ParsedItem item);
    Duration recordFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail);
    void recordSuccess(KeyWatch &watch);

    asio::io_context &context_;
    StoreSourceOptions options_;
    PlatformSink sink_;
    Random random_;
    bool started_ = false;
    bool reachable_ = true;
    std::map<std::string, Watch> watches_;
};

// A key that is already watched keeps its connection and state; its known revision can only increase.
void StoreSource::setWatchedKeys(const std::vector<WatchedKey> &keys)
{
    std::map<std::string, Watch> next;
    for (const auto &watched : keys) {
        const auto existing = watches_.find(watched.key);
        if (existing != watches_.end()) {
            existing->second->revision = std::max(existing->second->revision, watched.knownRevision);
            next.insert(*existing);
            continue;
        }
        const auto added = next.emplace(watched.key, std::make_shared<KeyWatch>(context_, options_.address, watched));
        if (added.second && started_) {
            spawn(added.first->second);
        }
    }
    for (const auto &[key, watch] : watches_) {
        if (!next.contains(key)) {
            cancel(*watch);
        }
    }
    watches_ = std::move(next);
}

void StoreSource::stop()
{
    for (const auto &[key, watch] : watches_) {
        cancel(*watch);
    }
    watches_.clear();
    started_ = false;
}

void StoreSource::spawn(const Watch &watch)
{
    spawnDuty(context_, "watching the store", [this, watch] { return run(watch); });
}

void StoreSource::cancel(KeyWatch &watch)
{
    watch.active = false;
    watch.client.close();
    watch.timer.cancel();
}

// Reads or watches one key in a loop until it is no longer watched. After an exception the connection may be amid a response, and a value
// undelivered.
asio::awaitable<void> StoreSource::run(Watch watch)
{
    watch->client.close();
    co_await deliver(watch);
    while (watch->active) {
        const auto startedAt = monotonicNow();
        const auto result = co_await read(watch);
        if (!watch->active) {
            break;
        }
        const auto pause = processResult(*watch, result, monotonicNow() - startedAt);
        co_await deliver(watch);
        if (!watch->active) {
            break;
        }
        watch->timer.expires_after(toSteady(pause));
        co_await watch->timer.async_wait(kWaitForCompletion);
    }
}

// Offers the update to the sink until the sink accepts it: the queue of the control thread may be full.
asio::awaitable<void> StoreSource::deliver(Watch watch)
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

// After a failure the store is asked for an immediate response: while it may hold the call, a lost call can't be told from one without
// news.
asio::awaitable<StoreResult> StoreSource::read(Watch watch)
{
    const auto timeout = responseTimeoutAfter(watch->failures, options_.timeouts);
    if (watch->asOf == 0) {
        co_return co_await watch->client.item(watch->key, timeout);
    }
    const auto wait = watch->failures > 0 ? kMinWait : options_.wait;
    co_return co_await watch->client.watch(watch->key, watch->asOf, wait, timeout);
}

// Whether the result shows that the store returned to an older copy of its data. Changes may then have been given revisions that the watch
// has passed already.
bool StoreSource::startsEra(KeyWatch &watch, const StoreResult &result)
{
    if (result.era <= watch.era) {
        return false;
    }
    const auto before = std::exchange(watch.era, result.era);
    if (before == 0) {
        return false;
    }
    logEvent(Event::PlatformRestored,
             {field("key", watch.key), field("era", result.era), field("before", before), field("revision-before", watch.asOf)});
    return true;
}

// Processes the result of a call and returns the delay before the next call for the key.
Duration StoreSource::processResult(KeyWatch &watch, const StoreResult &result, Duration elapsed)
{
    // Step 1. Failed calls. An expired, lost or too long history is no failure: the item is read instead.
    if ((startsEra(watch, result) || result.status == kStatusHistoryExpired || result.tooLarge) && watch.asOf != 0) {
        watch.asOf = 0;
        return options_.readInterval;
    }
    if (result.status == 0) {
        return recordFailure(watch, ErrorKind::PlatformUnreachable, fmt::format("no response for key {}", watch.key));
    }
    if (!result.response) {
        return recordFailure(watch, ErrorKind::PlatformBadAnswer, fmt::format("key {}: status {}", watch.key, result.status));
    }
    // Step 2. The response contains the key's item, from a read or from a watch.
    const bool wasItemRead = watch.asOf == 0;
    const bool advanced = result.response->asOf > watch.asOf;
    if (const auto *item = lastItemWithKey(*result.response, watch.key)) {
        auto read = parseItem(*item, watch.revision);
        if (read.status != ItemStatus::Stale) {
            watch.asOf = std::max(watch.asOf, result.response->asOf);
        }
        return processItem(watch, std::move(read));
    }
    if (wasItemRead) {
        return recordFailure(watch, ErrorKind::PlatformBadAnswer, fmt::format("key {}: the response has no item of this key", watch.key));
    }
    // Step 3. A watch without changes of this key. The longer delay after an early response prevents a busy loop with a store that does not
    // hold watch requests.
    recordSuccess(watch);
    watch.asOf = std::max(watch.asOf, result.response->asOf);
    return elapsed < options_.wait / 2 && !advanced ? Duration{kEarlyResponsePause} : options_.readInterval;
}

Duration StoreSource::processItem(KeyWatch &watch, ParsedItem item)
{
    const auto detail = fmt::format("key {}: {}", watch.key, item.detail);
    switch (item.status) {
    case ItemStatus::Stale:
        return recordFailure(watch, ErrorKind::StaleRevision, detail);
    case ItemStatus::Refused:
        recordSuccess(watch);
        watch.revision = item.revision;
        watch.refusal = item.detail;
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(detail));
        break;
    case ItemStatus::Newer:
        recordSuccess(watch);
        watch.revision = item.revision;
        watch.refusal.clear();
        watch.undelivered = std::move(item.update);
        break;
    case ItemStatus::Unchanged:
        recordSuccess(watch);
        break;
    }
    return options_.readInterval;
}

Duration StoreSource::recordFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail)
{
    reportError(kind, detail);
    if (kind == ErrorKind::PlatformUnreachable) {
        reachable_ = false;
    }
    const auto rest = backoffAfter(watch.failures, options_.timeouts, random_);
    ++watch.failures;
    return std::max(options_.readInterval, rest);
}

void StoreSource::recordSuccess(KeyWatch &watch)
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

ParsedItem parseItem(const StoreItem &item, std::uint64_t knownRevision)
{
    ParsedItem read;
    read.revision = item.revision;
    if (item.revision == knownRevision) {
        return read;
    }
    if (item.revision < knownRevision) {
        read.status = ItemStatus::Stale;
        read.detail = fmt::format("revision {} after {}", item.revision, knownRevision);
        return read;
    }
    if (item.deleted) {
        read.status = ItemStatus::Refused;
        read.detail = fmt::format("removed at revision {}", item.revision);
        return read;
    }
    auto parsed = parsePlatformValue(item.key, item.revision, item.value);
    read.status = parsed.value ? ItemStatus::Newer : ItemStatus::Refused;
    read.update = std::move(parsed.value);
    read.detail = faultsToString(parsed.faults);
    return read;
}

const StoreItem *lastItemWithKey(const StoreResponse &response, std::string_view key)
{
    const StoreItem *last = nullptr;
    for (const auto &item : response.items) {
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
