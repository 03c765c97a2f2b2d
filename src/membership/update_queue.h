#pragma once

#include "membership/message.h"

#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace medlarway
{

/// The claims that ride on outgoing messages, each a bounded number of times, the least sent first.
class UpdateQueue
{
public:
    /// Puts a claim in, in place of an earlier one of the same host.
    void put(const MembershipUpdate &update);

    /// Takes the claims of a host out.
    void erase(HostId host);

    /// Appends at most limit claims to the updates and counts them as sent; one sent maxSent times is dropped.
    void take(std::size_t limit, std::uint32_t maxSent, std::vector<MembershipUpdate> &updates);

    /// Claims that wait to be sent.
    std::size_t size() const
    {
        return entries_.size();
    }

private:
    struct Entry {
        MembershipUpdate update;
        std::uint32_t sent = 0;
        std::uint64_t number = 0;
    };
    using Key = std::tuple<std::uint32_t, std::uint64_t, HostId>; // times sent, number, host

    std::map<HostId, Entry> entries_;
    std::set<Key> order_;
    std::uint64_t nextNumber_ = 0;
};

} // namespace medlarway
