#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// Fault that a stand-in store injects.
enum class StoreFault : std::uint8_t {
    None,
    Busy, ///< status 503 for every request
    RateLimited, ///< status 429 for every request
    OnlyStaleReads, ///< status 429 for every request except stale reads
    Silent, ///< accepts requests but never responds, not even to watches that are already pending
    Reset, ///< resets the connection of each request
    EagerWatches, ///< responds to watches at once, although nothing has changed
};

/// A stand-in for the platform's store, for tests and the quickstart: items with revisions, range reads in pages, watches and faults.
/// Not thread-safe: runs on the thread of the given context.
class StandinStore
{
public:
    explicit StandinStore(boost::asio::io_context &context, const Endpoint &listen = {0x7f000001, 0});
    ~StandinStore();
    StandinStore(const StandinStore &) = delete;
    StandinStore &operator=(const StandinStore &) = delete;

    Endpoint address() const;

    /// Writes an item and returns its revision.
    std::uint64_t put(const std::string &key, const std::string &value);

    /// Sets an item back to an earlier revision, as a store that lost data would, and discards the history.
    void rollBack(const std::string &key, const std::string &value, std::uint64_t revision);

    /// Remembers the contents and revision of this moment.
    void keepCopy();

    /// Returns to the remembered contents and revision, which begins a new era: later revisions are given out again.
    void restoreCopy();

    /// From now on, responses do not tell the era.
    void omitEra();

    /// Removes an item and returns the revision of the removal.
    std::uint64_t remove(const std::string &key);

    void setFault(StoreFault fault);

    /// Responds to every n-th request with status 429; 0 disables this.
    void refuseEveryNth(std::size_t calls);

    /// Additional delay of each response.
    void setDelay(std::chrono::milliseconds delay);

    /// Discards the history: watches from an earlier revision get status 410.
    void dropHistory();

    /// From now on, stale reads return the contents of this moment.
    void freezeStaleReads();

    /// From now on, stale reads return these items as of this revision.
    void serveStaleReads(const std::map<std::string, std::string> &values, std::uint64_t revision);

    /// Maximum number of items in a page of a range read.
    void setPageItems(std::size_t items);

    /// Number of requests received, including refused ones.
    std::size_t calls() const;

    /// Number of stale reads served.
    std::size_t staleCalls() const;

    /// Number of watches that are pending now.
    std::size_t heldWatches() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// The value of an upstream's entry, as the store holds it under the key "servers/ID". born is the start time in milliseconds.
std::string standinUpstreamEntry(const std::string &service, const Endpoint &address, const std::string &zone,
                                 const std::string &state = "ready", std::uint64_t born = 1000);

/// A route of the operator's configuration.
struct StandinRoute {
    Endpoint address;
    std::string service;
    std::chrono::milliseconds targetLatency{0}; ///< 0: the route states none
    unsigned priority = 2;

    friend bool operator==(const StandinRoute &, const StandinRoute &) = default;
};

/// The value of the operator's configuration, as the store holds it.
std::string standinConfig(std::uint64_t version, const std::vector<StandinRoute> &routes);

/// A configuration with a single route.
std::string standinConfig(std::uint64_t version, const Endpoint &route, const std::string &service);

} // namespace medlarway
