#pragma once

#include "platform/store_client.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <string>
#include <vector>

namespace medlarway
{

/// How often the store is called.
struct WatchPace {
    /// Delay before the next watch after a response with changes. The platform charges for each call, and a burst then needs few.
    Duration pauseAfterChanges = std::chrono::milliseconds{250};
    /// How long the store may hold a watch request before it responds. A call without a response for longer than this and the response
    /// timeout fails. The sum must stay below 4 s, the time within which a host must detect that its connections receive nothing.
    Duration wait = std::chrono::milliseconds{2800};

    friend bool operator==(const WatchPace &, const WatchPace &) = default;
};

/// Options for reading the store.
struct StoreFeedOptions {
    Endpoint address;
    std::uint64_t seed = 1; ///< seed of the backoff jitter
    WatchPace pace; ///< until setPace() replaces it
    StoreTimeouts timeouts;

    friend bool operator==(const StoreFeedOptions &, const StoreFeedOptions &) = default;
};

/// Callbacks that receive the data. All are called on the thread that runs the context.
struct StoreFeedSink {
    std::function<void(const RouteConfig &config)> config;
    std::function<void(const UpstreamEntry &entry)> upstream;
    std::function<void(const std::string &id, const Revision &revision)> removed; ///< the entry was deleted or is invalid
    std::function<void(const ZoneEvacuation &evacuation)> evacuation; ///< begun or ended
    /// A full read has completed; ids are those of all upstreams, and evacuations all that are active.
    std::function<void(const std::vector<std::string> &ids, const std::vector<ZoneEvacuation> &evacuations, const Revision &revision)>
        complete;
    std::function<void()> confirmed; ///< the store reported all changes up to asOf() that it had at confirmedAt()
    std::function<void()> failed; ///< a call failed
};

/// Reads the operator's configuration and the entries of all upstreams from the store, then watches for changes. Not thread-safe: runs on
/// the context's thread.
class StoreFeed
{
public:
    StoreFeed(boost::asio::io_context &context, const StoreFeedOptions &options, StoreFeedSink sink);

    /// Starts reading, unless setReading(false) was called.
    void start();

    /// Lets the feed read, or pause after the pending call: while another host supplies the data. The first call after a pause responds at
    /// once, so that the data is confirmed.
    void setReading(bool reading);

    /// Changes the pace. A shorter pause takes effect at once.
    void setPace(const WatchPace &pace);

    /// Called after a peer supplied all data up to a store revision: the feed watches for changes after it. An incomplete full read is
    /// skipped, so hosts that start together need not all read everything.
    void resumeFrom(const Revision &asOf);

    /// Closes the connection, which may be dead without an error, and repeats the call at once, to be answered at once.
    void reconnect();

    /// Closes the connection and stops reading.
    void stop();

    /// When a response with the store's changes last arrived; Time{} before the first one.
    Time lastResponseAt() const
    {
        return lastResponseAt_;
    }

    /// The latest time at which the data is known to have been up to date: that of the call, or of the end of its wait, as the response
    /// may have been on its way for long. Time{} before the first response.
    Time confirmedAt() const
    {
        return confirmedAt_;
    }

    /// Whether the last call succeeded; false until the first full read or watch has completed.
    bool reachable() const
    {
        return failures_ == 0 && lastResponseAt_ != Time{};
    }

    /// The store revision up to which the data is complete; unknown before the first full read or resumeFrom(), and again after the store
    /// discarded the history that a watch needs or returned to an older copy of its data.
    const Revision &asOf() const
    {
        return asOf_;
    }

private:
    // Progress of a full read: all pages, then the changes since the oldest page.
    struct FullRead {
        std::string after; ///< last key of the previous page; empty before the first page
        Revision asOf; ///< lowest store revision of the pages read so far
        std::vector<std::string> ids; ///< ids of the upstreams read so far
        std::vector<ZoneEvacuation> evacuations; ///< active ones read so far
        bool allPagesRead = false;
    };

    boost::asio::awaitable<void> run();
    Duration pauseAfterStep(bool succeeded);
    boost::asio::awaitable<void> rest(bool succeeded);
    boost::asio::awaitable<void> waitUntilReading();
    boost::asio::awaitable<bool> runNextStep();
    boost::asio::awaitable<bool> readPage();
    boost::asio::awaitable<bool> catchUp();
    boost::asio::awaitable<bool> watch();
    void restartFullRead();
    Duration nextWait(Time now) const;
    bool applyChanges(const StoreResult &result, Duration wait);
    Time provenTime(const StoreResult &result, Duration wait) const;
    void offer(const StoreItem &item, std::uint64_t era);
    void apply(const StoreItem &item, std::uint64_t era);
    void applyEvacuation(const StoreItem &item, const Revision &revision);
    void recordEra(const StoreResult &result);
    static void reportTooLarge(const Revision &after);
    void recordSuccess(const Revision &asOf, bool changed, Time confirmedAt);
    bool recordFailure(std::string_view call, unsigned status);

    boost::asio::io_context &context_;
    StoreFeedOptions options_;
    StoreFeedSink sink_;
    Random random_;
    StoreClient client_;
    boost::asio::steady_timer timer_;
    FullRead fullRead_;
    ReadConsistency consistency_ = ReadConsistency::AllowStale; ///< consistency of page reads
    Revision asOf_; ///< see asOf(); a full read is needed while it is unknown
    std::uint64_t era_ = 0; ///< highest era of the store's responses; 0 before the first response
    std::uint32_t failures_ = 0; ///< consecutive failures
    std::uint32_t restarts_ = 0; ///< full reads that began anew since the last success
    bool restarted_ = false; ///< the last step led to one
    bool changed_ = false; ///< the last response contained changes
    bool early_ = false; ///< the last watch ended long before its time, without changes
    bool eager_ = false; ///< this happened before: the store may hold no watches
    Time callStartedAt_;
    Duration callStartedSinceBoot_{}; ///< the same on the clock that counts suspensions
    Time lastResponseAt_; ///< see lastResponseAt()
    Time confirmedAt_; ///< see confirmedAt()
    bool running_ = false;
    bool repeating_ = false; ///< an item of this response could not be applied before
    bool reading_ = true; ///< see setReading()
    bool confirmNext_ = false; ///< the next watch responds at once
    bool resting_ = false; ///< in a pause after changes
    Time restStartedAt_; ///< start of the current pause
    bool reconnecting_ = false; ///< reconnect() closed the connection, so the failure of the pending call is expected
};

} // namespace medlarway
