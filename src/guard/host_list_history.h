#pragma once

#include "base/host.h"
#include "base/time.h"
#include "guard/guard_message.h"
#include "guard/verdict.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace medlarway
{

/// The host list that guards are selected from, and the earlier lists that some hosts may still use. As long as
/// they may, a claim also needs a majority of the guards that those lists give.
class HostListHistory
{
public:
    /// Votes given by an earlier list count until voteRetention after their host switched to a later one. An earlier
    /// list is removed after listGiveUp in any case: hosts that still use it are then assumed to be stopped.
    HostListHistory(HostId self, std::size_t guardsPerKey, Duration voteRetention, Duration listGiveUp);

    /// Limit on stored earlier lists.
    static constexpr std::size_t kMaxEarlierLists = 64;

    /// Makes this list the current one and the previous one an earlier one. An empty list is ignored. False if
    /// kMaxEarlierLists are stored: the current list then stays.
    bool setCurrent(std::vector<HostId> hosts, Time now);

    /// Adds a list received from another host to the earlier ones, unless it is stored already or there is no room.
    void addEarlier(std::vector<HostId> hosts, Time now);

    /// Records which list a host uses. It counts as switched to a later one only if it also sent the lists it knows.
    void recordUse(HostId host, std::uint64_t hostListHash, bool sentLists, Time now);

    /// Removes earlier lists by which no key can get a majority of its guards any more.
    void prune(Time now);

    /// The guards of a key by the current list first, then by each earlier list not superseded; equal sets once.
    std::vector<HostSet> guardsOf(const GuardKey &key, Time now) const;

    /// The current list first, then the earlier ones.
    std::vector<HostSet> all() const;

    /// The hosts of the current and the earlier lists, each once.
    std::vector<HostId> hosts() const;

    /// The other hosts of earlier lists that are not known to have switched to a later one, each once.
    std::vector<HostId> hostsToQuery() const;

    const std::vector<HostId> &current() const
    {
        return current_;
    }

    /// The hash of the current list; 0 before the first one.
    std::uint64_t hash() const
    {
        return hash_;
    }

private:
    struct Earlier {
        std::vector<HostId> hosts;
        std::uint64_t hash = 0;
        Time replacedAt;
        std::map<HostId, Time> switchedAt; ///< when a host was first seen to use a later list
    };

    HostSet selectGuards(const GuardKey &key, const std::vector<HostId> &hosts) const;
    bool hasSwitched(const Earlier &earlier, HostId host, Time now) const;
    bool isSuperseded(const Earlier &earlier, const HostSet &set, Time now) const;
    void addToHistory(std::vector<HostId> hosts, std::uint64_t hash, Time now);

    HostId self_;
    std::size_t guardsPerKey_;
    Duration voteRetention_;
    Duration listGiveUp_;
    std::vector<HostId> current_;
    std::uint64_t hash_ = 0;
    std::vector<Earlier> earlier_; ///< in the order in which they were replaced or received
};

/// The number of a set's guards that make a majority.
constexpr std::size_t majorityOf(std::size_t guards)
{
    return guards / 2 + 1;
}

} // namespace medlarway
