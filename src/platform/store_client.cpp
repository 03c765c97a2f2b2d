#include "platform/store_client.h"

#include "base/counters.h"
#include "pages/query.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr unsigned kStatusOk = 200;

constexpr std::uint32_t kMostDoublings = 8;

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

// A store that answers slowly is given more time, else none of its answers would ever be taken.
Duration answerTimeoutAfter(std::uint32_t failures, const StorePatience &patience)
{
    return std::min(patience.longestAnswerTimeout, patience.answerTimeout * (1U << std::min(failures, kMostDoublings)));
}

// Doubles, with jitter so that hosts don't come back together.
Duration backOffAfter(std::uint32_t failures, const StorePatience &patience, Random &random)
{
    const auto doubled = patience.shortestBackOff * (1U << std::min(failures, kMostDoublings));
    const auto longest = std::min(patience.longestBackOff, doubled);
    return std::chrono::duration_cast<Duration>(longest * (0.5 + 0.5 * random.unit()));
}

StoreClient::StoreClient(boost::asio::io_context &context, const Endpoint &address)
    : connection_(context, address)
{
}

boost::asio::awaitable<StoreReply> StoreClient::item(const std::string &key, Duration timeout)
{
    return call("/v1/kv-key?key=" + encodeQueryValue(key), timeout, timeout, decodeStoreItem);
}

boost::asio::awaitable<StoreReply> StoreClient::page(const std::string &prefix, const std::string &afterKey, Freshness freshness,
                                                     Duration timeout)
{
    const auto after = afterKey.empty() ? "" : "&after=" + encodeQueryValue(afterKey);
    const auto *stale = freshness == Freshness::Seconds ? "&stale-ok=1" : "";
    return call("/v1/kv-range?prefix=" + encodeQueryValue(prefix) + after + stale, timeout, timeout, decodeStoreAnswer);
}

boost::asio::awaitable<StoreReply> StoreClient::watch(const std::string &prefix, std::uint64_t afterRevision, Duration wait,
                                                      Duration timeout)
{
    auto target = fmt::format("/v1/kv-watch?prefix={}&after={}&wait-ms={}", encodeQueryValue(prefix), afterRevision, milliseconds(wait));
    return call(std::move(target), wait + timeout, timeout, decodeStoreAnswer);
}

void StoreClient::close()
{
    connection_.close();
}

boost::asio::awaitable<StoreReply> StoreClient::call(std::string target, Duration timeout, Duration connectTimeout, Decoder decoder)
{
    count(Counter::PlatformReads);
    const auto reply = co_await connection_.get(std::move(target), timeout, connectTimeout);
    if (!reply) {
        co_return StoreReply{};
    }
    co_return StoreReply{reply->status, reply->status == kStatusOk ? decoder(reply->body) : std::nullopt};
}

} // namespace medlarway
