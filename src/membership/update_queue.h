#pragma once

#include "membership/message.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace medlarway
{

/// Updates to piggyback on outgoing messages. Each is sent a bounded number of times, the least often sent first.
class UpdateQueue
{
public:
    /// Adds an update; replaces any queued update about the same host.
    void put(const MembershipUpdate &update);

    /// Removes the queued update about a host, if any.
    void erase(HostId host);

    /// Appends up to `limit` queued updates to `updates` and counts them as sent. An update that has been sent
    /// `maxSends` times is removed.
    void take(std::size_t limit, std::uint32_t maxSends, std::vector<MembershipUpdate> &updates);

    /// Number of queued updates.
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry {
        MembershipUpdate update;
        std::uint32_t sendCount = 0;
        std::uint64_t sequence = 0; ///< order of insertion
    };
    using Key = std::tuple<std::uint32_t, std::uint64_t, HostId>; // send count, sequence, host

    std::map<HostId, Entry> entries_;
    std::set<Key> order_;
    std::uint64_t nextSequence_ = 0;
};

} // namespace medlarway
