#pragma once

#include "base/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace medlarway
{

/// How a stand-in store treats calls.
enum class StoreFault : std::uint8_t {
    None,
    Busy, ///< 503
    TooMany, ///< 429
    OnlyStale, ///< 429, but reads that may be seconds old are answered
    Silent, ///< takes calls and never answers, those that wait already included
    Resets, ///< resets each connection that calls
};

/// A stand-in for the platform's store, for tests and the quickstart: items with revisions, pages, held watches and faults.
/// Runs on the caller's context and thread.
class StandinStore
{
public:
    explicit StandinStore(boost::asio::io_context &context, const Endpoint &listen = {0x7f000001, 0});
    ~StandinStore();
    StandinStore(const StandinStore &) = delete;
    StandinStore &operator=(const StandinStore &) = delete;

    Endpoint address() const;

    /// Writes an item; gives the revision.
    std::uint64_t put(const std::string &key, const std::string &value);

    /// Puts an item back to an earlier revision, as a store that lost something would, and forgets its history.
    void putBack(const std::string &key, const std::string &value, std::uint64_t revision);

    /// Removes an item; gives the revision.
    std::uint64_t remove(const std::string &key);

    void setFault(StoreFault fault);

    /// Refuses each so many-th call as too many; 0 refuses none.
    void refuseEach(std::size_t calls);

    /// How long each answer takes more than it would.
    void setDelay(std::chrono::milliseconds delay);

    /// What was changed so far can no longer be watched from.
    void dropHistory();

    /// From now on, reads that may be seconds old are answered as everything is at this moment.
    void freezeStaleReads();

    /// Items on one page of a range.
    void setPageItems(std::size_t items);

    /// Calls taken, refused ones included.
    std::size_t calls() const;

    /// Of those, reads that may be seconds old.
    std::size_t staleCalls() const;

    /// Ranges and watches that are held now, for a test that waits for a reader.
    std::size_t heldWatches() const;

private:
    struct Impl;
    std::shared_ptr<Impl> impl_;
};

/// The store's text of an upstream's entry. The id goes into the key, "servers/ID"; born are the milliseconds of its start.
std::string standinUpstreamEntry(const std::string &service, const Endpoint &address, const std::string &zone,
                                 const std::string &state = "ready", std::uint64_t born = 1000);

/// A route of the configuration.
struct StandinRoute {
    Endpoint address;
    std::string service;

    friend bool operator==(const StandinRoute &, const StandinRoute &) = default;
};

/// The store's text of a configuration.
std::string standinConfig(std::uint64_t version, const std::vector<StandinRoute> &routes);

/// The same with one route to one service.
std::string standinConfig(std::uint64_t version, const Endpoint &route, const std::string &service);

} // namespace medlarway
