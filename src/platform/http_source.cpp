#include "platform/http_source.h"

#include "base/counters.h"
#include "base/errors.h"
#include "base/random.h"
#include "platform/platform_value.h"
#include "yaml/scalars.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <map>
#include <nlohmann/json.hpp>

namespace medlarway
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;

constexpr unsigned kStatusOk = 200;
constexpr unsigned kStatusNotModified = 304;
constexpr std::uint32_t kLongestHeadBytes = 8192;
constexpr auto kRedeliverInterval = std::chrono::milliseconds{100};
constexpr auto kUnwaitedPause = std::chrono::seconds{1};
constexpr auto kWaitForCompletion = asio::as_tuple(asio::use_awaitable);

SteadyClock::duration toSteady(Duration duration)
{
    return std::chrono::duration_cast<SteadyClock::duration>(duration);
}

// One key that is watched, with its own connection.
struct KeyWatch {
    KeyWatch(asio::io_context &context, const WatchedKey &watched)
        : key(watched.key)
        , revision(watched.knownRevision)
        , stream(context)
        , timer(context)
    {
    }

    std::string key;
    std::uint64_t revision; ///< the highest that was read or is known from elsewhere
    bool active = true;
    bool connected = false;
    std::uint32_t failures = 0; ///< in a row
    std::string refusal; ///< what was wrong with the latest value; empty where it was delivered
    std::optional<PlatformUpdate> undelivered;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    asio::steady_timer timer;
};

class HttpSource : public PlatformSource
{
public:
    HttpSource(asio::io_context &context, HttpSourceOptions options, PlatformSink sink)
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
    asio::awaitable<std::optional<PlatformAnswer>> read(Watch watch);
    asio::awaitable<ErrorCode> connect(Watch watch);
    std::string targetOf(const KeyWatch &watch) const;
    Duration take(KeyWatch &watch, std::optional<PlatformAnswer> answer, Duration elapsed);
    Duration takeFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail);
    void takeSuccess(KeyWatch &watch);

    asio::io_context &context_;
    HttpSourceOptions options_;
    PlatformSink sink_;
    Random random_;
    bool started_ = false;
    bool reachable_ = true;
    std::map<std::string, Watch> watches_;
};

// Keys that stay keep their connection and what they know; a revision known from elsewhere only raises it.
void HttpSource::setWatchedKeys(const std::vector<WatchedKey> &keys)
{
    std::map<std::string, Watch> next;
    for (const auto &watched : keys) {
        const auto known = watches_.find(watched.key);
        if (known != watches_.end()) {
            known->second->revision = std::max(known->second->revision, watched.knownRevision);
            next.insert(*known);
            continue;
        }
        const auto added = next.emplace(watched.key, std::make_shared<KeyWatch>(context_, watched));
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

void HttpSource::stop()
{
    for (const auto &[key, watch] : watches_) {
        end(*watch);
    }
    watches_.clear();
    started_ = false;
}

void HttpSource::spawn(const Watch &watch)
{
    asio::co_spawn(context_, run(watch), asio::detached);
}

void HttpSource::end(KeyWatch &watch)
{
    watch.active = false;
    watch.stream.close();
    watch.timer.cancel();
}

// Reads one key over and over until it is watched no longer.
asio::awaitable<void> HttpSource::run(Watch watch)
{
    while (watch->active) {
        const auto begun = SteadyClock::now();
        auto answer = co_await read(watch);
        if (!watch->active) {
            break;
        }
        const auto pause = take(*watch, std::move(answer), SteadyClock::now() - begun);
        co_await redeliver(watch);
        if (!watch->active) {
            break;
        }
        watch->timer.expires_after(toSteady(pause));
        co_await watch->timer.async_wait(kWaitForCompletion);
    }
}

// Offers what was read until the control thread has room for it.
asio::awaitable<void> HttpSource::redeliver(Watch watch)
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

asio::awaitable<ErrorCode> HttpSource::connect(Watch watch)
{
    if (watch->connected) {
        co_return ErrorCode{};
    }
    watch->buffer.clear();
    watch->stream.expires_after(toSteady(options_.connectTimeout));
    const asio::ip::tcp::endpoint endpoint(asio::ip::address_v4(options_.address.address), options_.address.port);
    const auto [error] = co_await watch->stream.async_connect(endpoint, kWaitForCompletion);
    watch->connected = !error;
    co_return error;
}

// Sends one request and reads the answer; nullopt where there was none.
asio::awaitable<std::optional<PlatformAnswer>> HttpSource::read(Watch watch)
{
    count(Counter::PlatformReads);
    const auto connectError = co_await connect(watch);
    if (connectError) {
        co_return std::nullopt;
    }
    http::request<http::empty_body> request(http::verb::get, targetOf(*watch), 11);
    request.set(http::field::host, endpointToString(options_.address));
    watch->stream.expires_after(toSteady(options_.wait + options_.answerTimeout));
    const auto [writeError, written] = co_await http::async_write(watch->stream, request, kWaitForCompletion);
    http::response_parser<http::string_body> parser;
    parser.header_limit(kLongestHeadBytes);
    parser.body_limit(kLongestValueBytes);
    ErrorCode readError = writeError;
    if (!writeError) {
        const auto [error, bytes] = co_await http::async_read(watch->stream, watch->buffer, parser, kWaitForCompletion);
        readError = error;
    }
    if (readError || !parser.get().keep_alive()) {
        watch->connected = false;
        watch->stream.close();
    }
    if (readError) {
        co_return std::nullopt;
    }
    const auto &answer = parser.get();
    const auto revision = answer["Revision"];
    co_return interpretAnswer(watch->key, watch->revision, answer.result_int(), std::string_view(revision.data(), revision.size()),
                              answer.body());
}

std::string HttpSource::targetOf(const KeyWatch &watch) const
{
    if (watch.revision == 0) {
        return "/" + watch.key;
    }
    return fmt::format("/{}?after={}&wait={}", watch.key, watch.revision,
                       std::chrono::duration_cast<std::chrono::seconds>(options_.wait).count());
}

// Takes what was read; gives the pause before the next read of the key.
Duration HttpSource::take(KeyWatch &watch, std::optional<PlatformAnswer> answer, Duration elapsed)
{
    if (!answer) {
        return takeFailure(watch, ErrorKind::PlatformUnreachable, fmt::format("no answer for key {}", watch.key));
    }
    const auto detail = fmt::format("key {}: {}", watch.key, answer->detail);
    switch (answer->kind) {
    case AnswerKind::Unreadable:
        return takeFailure(watch, ErrorKind::PlatformBadAnswer, detail);
    case AnswerKind::Stale:
        return takeFailure(watch, ErrorKind::StaleRevision, detail);
    case AnswerKind::Refused:
        takeSuccess(watch);
        watch.revision = answer->revision;
        watch.refusal = answer->detail;
        reportError(ErrorKind::BadCatalogue, faultsOnOneLine(detail));
        return options_.readInterval;
    case AnswerKind::Newer:
        takeSuccess(watch);
        watch.revision = answer->revision;
        watch.refusal.clear();
        watch.undelivered = std::move(answer->update);
        return options_.readInterval;
    case AnswerKind::NotNewer:
        takeSuccess(watch);
        break;
    }
    // A platform that doesn't hold the watch would else be asked without end.
    return elapsed < options_.wait / 2 ? Duration{kUnwaitedPause} : options_.readInterval;
}

// Backs off by doubling, with full jitter so that hosts don't come back together.
Duration HttpSource::takeFailure(KeyWatch &watch, ErrorKind kind, const std::string &detail)
{
    constexpr std::uint32_t kMostDoublings = 10;
    reportError(kind, detail);
    if (kind == ErrorKind::PlatformUnreachable) {
        reachable_ = false;
    }
    const auto doublings = std::min(watch.failures, kMostDoublings);
    ++watch.failures;
    const auto longest = std::min(options_.shortestBackOff * (std::int64_t{1} << doublings), options_.longestBackOff);
    const auto jitter = random_.below(static_cast<std::uint64_t>(longest.count()));
    return std::max(options_.readInterval, Duration{static_cast<std::int64_t>(jitter)});
}

void HttpSource::takeSuccess(KeyWatch &watch)
{
    watch.failures = 0;
    if (!std::exchange(reachable_, true)) {
        logEvent(Event::PlatformRecovered, {field("address", endpointToString(options_.address))});
    }
}

std::string HttpSource::stateAsJson() const
{
    nlohmann::json keys = nlohmann::json::array();
    for (const auto &[key, watch] : watches_) {
        keys.push_back({{"key", key}, {"revision", watch->revision}, {"failures", watch->failures}, {"refusal", watch->refusal}});
    }
    const nlohmann::json state{
        {"source", "http"}, {"address", endpointToString(options_.address)}, {"reachable", reachable_}, {"keys", keys}};
    return state.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

PlatformAnswer interpretAnswer(const std::string &key, std::uint64_t knownRevision, unsigned status, std::string_view revision,
                               std::string_view value)
{
    PlatformAnswer answer;
    if (status == kStatusNotModified) {
        answer.kind = AnswerKind::NotNewer;
        return answer;
    }
    if (status != kStatusOk) {
        answer.detail = fmt::format("status {}", status);
        return answer;
    }
    const auto number = parseNumber(revision);
    if (!number || *number == 0) {
        answer.detail = "no revision";
        return answer;
    }
    answer.revision = *number;
    if (answer.revision == knownRevision) {
        answer.kind = AnswerKind::NotNewer;
        return answer;
    }
    if (answer.revision < knownRevision) {
        answer.kind = AnswerKind::Stale;
        answer.detail = fmt::format("revision {} after {}", answer.revision, knownRevision);
        return answer;
    }
    auto parsed = parsePlatformValue(key, answer.revision, value);
    answer.kind = parsed.value ? AnswerKind::Newer : AnswerKind::Refused;
    answer.update = std::move(parsed.value);
    answer.detail = faultsToString(parsed.faults);
    return answer;
}

std::unique_ptr<PlatformSource> makeHttpSource(asio::io_context &context, HttpSourceOptions options, PlatformSink sink)
{
    return std::make_unique<HttpSource>(context, options, std::move(sink));
}

} // namespace medlarway
