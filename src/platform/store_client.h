#pragma once

#include "base/random.h"
#include "pages/http_client.h"
#include "platform/store_values.h"

#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// How long a reader of the store waits for answers, and rests after failures.
struct StorePatience {
    Duration answerTimeout = std::chrono::milliseconds{900}; ///< also for a connection; beyond the wait of a held watch
    Duration longestAnswerTimeout = std::chrono::seconds{3}; ///< it doubles with each failure in a row, up to this
    Duration shortestBackOff = std::chrono::milliseconds{150};
    Duration longestBackOff = std::chrono::seconds{1};

    friend bool operator==(const StorePatience &, const StorePatience &) = default;
};

/// How long to wait for an answer after so many failures in a row.
Duration answerTimeoutAfter(std::uint32_t failures, const StorePatience &patience);

/// How long to rest after so many failures in a row.
Duration backOffAfter(std::uint32_t failures, const StorePatience &patience, Random &random);

/// What came of a call.
struct StoreReply {
    unsigned status = 0; ///< 0: no answer came
    std::optional<StoreAnswer> answer; ///< only of status 200, and where it can be read

    friend bool operator==(const StoreReply &, const StoreReply &) = default;
};

/// How new what is read must be.
enum class Freshness : std::uint8_t {
    Latest,
    Seconds, ///< it may be seconds old; a tenth of the price, and outside the store's rate
};

inline constexpr unsigned kStoreHistoryGone = 410; ///< what a watch asks for is no longer available

/// One connection to the platform's store for one call at a time; the only place that knows its calls. Every call counts in
/// Counter::PlatformReads.
class StoreClient
{
public:
    StoreClient(boost::asio::io_context &context, const Endpoint &address);

    /// Reads one item.
    boost::asio::awaitable<StoreReply> item(const std::string &key, Duration timeout);

    /// Reads a page of the items with the prefix, those after a key.
    boost::asio::awaitable<StoreReply> page(const std::string &prefix, const std::string &afterKey, Freshness freshness, Duration timeout);

    /// Asks for what changed after a revision; the store may hold the call for the wait, and answers within the timeout after it.
    boost::asio::awaitable<StoreReply> watch(const std::string &prefix, std::uint64_t afterRevision, Duration wait, Duration timeout);

    /// Ends the connection and what waits on it.
    void close();

private:
    using Decoder = std::optional<StoreAnswer> (*)(std::string_view body);

    boost::asio::awaitable<StoreReply> call(std::string target, Duration timeout, Duration connectTimeout, Decoder decoder);

    HttpClient connection_;
};

} // namespace medlarway
