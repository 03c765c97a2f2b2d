#pragma once

#include "base/host.h"
#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace medlarway
{

/// The current view and a few earlier ones, to look up keys that were placed before a change. Consecutive views in
/// which the same hosts may own keys are one generation.
class Generations
{
public:
    /// Limit on stored earlier generations; the oldest are removed first.
    static constexpr std::size_t kMaxEarlier = 8;

    /// Makes this view the current one. The previous one becomes an earlier generation if other hosts may own keys now.
    void add(const View &view, Time now);

    /// Removes the earlier generations that were replaced before this time.
    void removeReplacedBefore(Time moment);

    const View &current() const
    {
        return current_;
    }

    /// The owner in the current view; nullopt if no member may own a key.
    std::optional<HostId> owner(std::uint64_t key) const;

    /// The owners in the earlier generations, newest generation first, each host once. May include the current owner.
    std::vector<HostId> earlierOwners(std::uint64_t key) const;

    /// True if the host is a member of the current view, in any state.
    bool isMember(HostId host) const;

    /// True if the host was a member of an earlier view but is not one of the current view. False for a host that was
    /// never a member here: it may have joined without this host having received the view yet.
    bool wasRemoved(HostId host) const;

    /// The number of stored earlier generations.
    std::size_t earlierCount() const
    {
        return earlier_.size();
    }

private:
    struct Earlier {
        View view;
        Time replacedAt;
    };

    View current_;
    std::vector<Earlier> earlier_; ///< oldest first
    std::set<HostId> removed_; ///< former members that are not in the current view
};

} // namespace medlarway
