#include "platform/store_client.h"

#include "base/backoff.h"
#include "base/counters.h"
#include "pages/http_status.h"
#include "pages/query.h"
#include "yaml/scalars.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace medlarway
{

namespace
{

constexpr std::uint32_t kMaxDoublings = 8;

constexpr std::string_view kEraHeader = "Store-Era";

std::optional<std::uint64_t> eraOf(const HttpResponse &response)
{
    const auto found = response.header.find(boost::beast::string_view(kEraHeader.data(), kEraHeader.size()));
    return found == response.header.end() ? std::nullopt : parseNumber({found->value().data(), found->value().size()});
}

} // namespace

// The timeout grows so that a store whose responses take longer than the initial timeout can still be read.
Duration responseTimeoutAfter(std::uint32_t failures, const StoreTimeouts &timeouts)
{
    return std::min(timeouts.maxResponseTimeout, timeouts.responseTimeout * (1U << std::min(failures, kMaxDoublings)));
}

Duration backoffAfter(std::uint32_t failures, const StoreTimeouts &timeouts, Random &random)
{
    return backoffAfter(failures, timeouts.minBackoff, timeouts.maxBackoff, random);
}

StoreClient::StoreClient(boost::asio::io_context &context, const Endpoint &address)
    : connection_(context, address)
{
}

boost::asio::awaitable<StoreResult> StoreClient::item(const std::string &key, Duration timeout)
{
    return call("/v1/kv-key?key=" + encodeQueryValue(key), timeout, timeout, decodeStoreItem);
}

boost::asio::awaitable<StoreResult> StoreClient::page(const std::string &prefix, const std::string &afterKey, ReadConsistency consistency,
                                                      Duration timeout)
{
    const auto after = afterKey.empty() ? "" : "&after=" + encodeQueryValue(afterKey);
    const auto *stale = consistency == ReadConsistency::AllowStale ? "&stale-ok=1" : "";
    return call("/v1/kv-range?prefix=" + encodeQueryValue(prefix) + after + stale, timeout, timeout, decodeStoreResponse);
}

boost::asio::awaitable<StoreResult> StoreClient::watch(const std::string &prefix, std::uint64_t afterRevision, Duration wait,
                                                       Duration timeout)
{
    auto target = fmt::format("/v1/kv-watch?prefix={}&after={}&wait-ms={}", encodeQueryValue(prefix), afterRevision, inMilliseconds(wait));
    return call(std::move(target), wait + timeout, timeout, decodeStoreResponse);
}

void StoreClient::close()
{
    connection_.close();
}

boost::asio::awaitable<StoreResult> StoreClient::call(std::string target, Duration timeout, Duration connectTimeout, Decoder decoder)
{
    count(Counter::PlatformReads);
    const auto result = co_await connection_.get(std::move(target), timeout, connectTimeout);
    if (!result) {
        co_return StoreResult{};
    }
    era_ = eraOf(*result).value_or(era_);
    const bool isReadable = result->status == kStatusOk && !result->bodyTooLarge;
    co_return StoreResult{result->status, isReadable ? decoder(result->body) : std::nullopt, era_, result->bodyTooLarge};
}

} // namespace medlarway
