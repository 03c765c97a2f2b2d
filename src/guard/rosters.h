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

/// The lists of hosts that guards are drawn from: the current one, and earlier ones that hosts may still use.
class Rosters
{
public:
    /// Retention: how long after the last host has moved on votes by an earlier list matter.
    /// GiveUp: when hosts that never moved on are taken to be stopped.
    Rosters(HostId self, std::size_t guardCount, Duration retention, Duration giveUp);

    /// Earlier lists that are remembered at most.
    static constexpr std::size_t kEarlierLists = 64;

    /// Puts a list in force; the one before becomes an earlier one. False where too many earlier lists still matter.
    bool setCurrent(std::vector<HostId> hosts, Time now);

    /// Notes a list that another host knows and this one may not.
    void addEarlier(std::vector<HostId> hosts, Time now);

    /// Notes which list a host uses. It has moved on to it only where it has told the lists that it knows.
    void note(HostId host, std::uint64_t roster, bool hasTold, Time now);

    /// Forgets earlier lists that no majority of a key's guards can use any more.
    void prune(Time now);

    /// The sets of guards of a key, by the current list first, then by earlier ones that matter, each once.
    std::vector<GuardSet> guardsOf(const GuardKey &key, Time now) const;

    /// All lists that matter, the current one first.
    std::vector<GuardSet> all() const;

    /// The hosts of all lists that matter, each once.
    std::vector<HostId> hosts() const;

    /// Hosts of earlier lists that have not been seen to move on, each once.
    std::vector<HostId> unmoved() const;

    const std::vector<HostId> &current() const
    {
        return current_;
    }

    /// A hash of the current list.
    std::uint64_t hash() const
    {
        return hash_;
    }

private:
    struct Earlier {
        std::vector<HostId> hosts;
        std::uint64_t hash = 0;
        Time replacedAt;
        std::map<HostId, Time> movedAt; ///< when a host was first seen to use a later list
    };

    GuardSet drawFrom(const GuardKey &key, const std::vector<HostId> &hosts) const;
    bool hasMoved(const Earlier &earlier, HostId host, Time now) const;
    bool isClosedFor(const Earlier &earlier, const GuardSet &set, Time now) const;
    void remember(std::vector<HostId> hosts, std::uint64_t hash, Time now);

    HostId self_;
    std::size_t guardCount_;
    Duration retention_;
    Duration giveUp_;
    std::vector<HostId> current_;
    std::uint64_t hash_ = 0;
    std::vector<Earlier> earlier_; ///< oldest first
};

/// How many of a set's guards are a majority.
constexpr std::size_t majorityOf(std::size_t guards)
{
    return guards / 2 + 1;
}

} // namespace medlarway
