#pragma once

#include "base/random.h"
#include "platform/store_connection.h"
#include "platform/store_values.h"

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
    Duration pace = std::chrono::milliseconds{800}; ///< between two reads of what changed at the upstreams; each call has a price
    Duration configWait = std::chrono::seconds{2}; ///< how long the store may hold the watch of the configuration
    Duration answerTimeout = std::chrono::milliseconds{900}; ///< beyond the wait; a connection that is silent for longer is given up
    Duration shortestBackOff = std::chrono::milliseconds{150};
    Duration longestBackOff = std::chrono::seconds{1};

    friend bool operator==(const StoreFeedOptions &, const StoreFeedOptions &) = default;
};

/// Who takes what was read. All calls come from the thread that runs the context.
struct StoreFeedSink {
    std::function<void(const RouteConfig &config)> config;
    std::function<void(const UpstreamEntry &entry)> upstream;
    std::function<void(const std::string &id, std::uint64_t revision)> gone; ///< no longer there, or not readable
    std::function<void(const std::vector<std::string> &ids, std::uint64_t revision)> whole; ///< exactly these were there
};

/// Reads the operator's configuration and the upstreams' entries, and follows both.
class StoreFeed
{
public:
    StoreFeed(boost::asio::io_context &context, const StoreFeedOptions &options, StoreFeedSink sink);

    /// Begins to read.
    void start();

    /// Ends what runs.
    void stop();

    /// When the store last said what the newest configuration is; the epoch before the first time.
    Time configHeardAt() const
    {
        return config_.heardAt;
    }

    /// When the store last said which upstreams there are; the epoch before the first time.
    Time upstreamsHeardAt() const
    {
        return upstreams_.heardAt;
    }

private:
    // One followed prefix with its own connection.
    struct Follower {
        Follower(boost::asio::io_context &context, const Endpoint &address)
            : connection(context, address)
            , timer(context)
        {
        }

        StoreConnection connection;
        boost::asio::steady_timer timer;
        std::uint64_t asOf = 0; ///< 0: must be read whole
        std::uint32_t failures = 0; ///< in a row
        Time heardAt;
    };

    boost::asio::awaitable<void> followConfig();
    boost::asio::awaitable<void> followUpstreams();
    boost::asio::awaitable<bool> readWhole(Follower &follower, std::string prefix);
    boost::asio::awaitable<bool> watch(Follower &follower, std::string prefix, Duration wait);
    boost::asio::awaitable<void> pause(Follower &follower, Duration duration);
    void take(const StoreItem &item);
    void noteSuccess(Follower &follower);
    bool noteFailure(Follower &follower, const std::string &detail);
    Duration backOff(const Follower &follower);

    boost::asio::io_context &context_;
    StoreFeedOptions options_;
    StoreFeedSink sink_;
    Random random_;
    Follower config_;
    Follower upstreams_;
    bool running_ = false;
};

} // namespace medlarway
