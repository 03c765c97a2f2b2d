#pragma once

#include "platform/store_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace medlarway
{

/// How the store is read.
struct StoreFeedOptions {
    Endpoint address;
    std::uint64_t seed = 1; ///< of the jitter
    Duration pace = std::chrono::milliseconds{250}; ///< rest after an answer with changes; more may follow, and each call has a price
    Duration wait = std::chrono::milliseconds{2800}; ///< how long the store may hold a watch
    /// A connection that is silent for longer is given up. Wait and timeout together stay below the 4 s after which a host
    /// whose connections fell silent must have noticed it.
    StorePatience patience;

    friend bool operator==(const StoreFeedOptions &, const StoreFeedOptions &) = default;
};

/// Who takes what was read. All calls come from the thread that runs the context.
struct StoreFeedSink {
    std::function<void(const RouteConfig &config)> config;
    std::function<void(const UpstreamEntry &entry)> upstream;
    std::function<void(const std::string &id, std::uint64_t revision)> gone; ///< no longer there, or not readable
    std::function<void(const std::vector<std::string> &ids, std::uint64_t revision)> whole; ///< exactly these were there
};

/// Reads all that the store publishes, the operator's configuration and the upstreams' entries, and follows it.
class StoreFeed
{
public:
    StoreFeed(boost::asio::io_context &context, const StoreFeedOptions &options, StoreFeedSink sink);

    /// Begins to read.
    void start();

    /// Another host has told everything up to the revision. Where this one has not read it all itself, it goes on from there:
    /// hosts that start together need not all read everything.
    void adopt(std::uint64_t asOf);

    /// Gives up the connection, which may have been lost unnoticed, and asks again at once.
    void reconnect();

    /// Ends what runs.
    void stop();

    /// When the store last answered; the epoch before the first time. What it publishes was known then.
    Time heardAt() const
    {
        return heardAt_;
    }

    /// Whether the last call was answered; false before the first answer.
    bool answered() const
    {
        return failures_ == 0 && heardAt_ != Time{};
    }

    /// The store's revision up to which everything is known; 0 before the first answer and once the history is gone.
    std::uint64_t asOf() const
    {
        return asOf_;
    }

private:
    // Reading everything, page by page, and then what changed since the oldest page.
    struct Reading {
        std::string after; ///< the last key read; empty before the first page
        std::uint64_t asOf = 0; ///< of the oldest page
        std::vector<std::string> ids; ///< of upstreams, so far
        bool paged = false; ///< every page was read
    };

    boost::asio::awaitable<void> follow();
    boost::asio::awaitable<bool> step();
    boost::asio::awaitable<bool> readPage();
    boost::asio::awaitable<bool> catchUp();
    boost::asio::awaitable<bool> watch();
    bool takeChanges(const StoreReply &reply);
    void take(const StoreItem &item);
    void noteSuccess(std::uint64_t asOf, bool changed);
    bool noteFailure(std::string_view call, unsigned status);

    boost::asio::io_context &context_;
    StoreFeedOptions options_;
    StoreFeedSink sink_;
    Random random_;
    StoreClient client_;
    boost::asio::steady_timer timer_;
    Reading reading_;
    Freshness freshness_ = Freshness::Seconds; ///< of the pages
    std::uint64_t asOf_ = 0; ///< 0: must be read whole
    std::uint32_t failures_ = 0; ///< in a row
    bool changed_ = false; ///< by the last answer
    Time heardAt_;
    bool running_ = false;
    bool reconnects_ = false; ///< the connection was given up on purpose
};

} // namespace medlarway
