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

/// The current view and a few earlier ones, for look-ups of keys that were placed before a change.
/// Two views with the same owners count as one generation.
class Generations
{
public:
    /// Earlier generations that are remembered.
    static constexpr std::size_t kEarlierCount = 8;

    /// Puts a view in force; the one before becomes an earlier generation.
    void add(const View &view, Time now);

    /// Forgets the generations that were replaced before the moment.
    void forgetBefore(Time moment);

    const View &current() const
    {
        return current_;
    }

    /// The owner in the current view.
    std::optional<HostId> owner(std::uint64_t key) const;

    /// The owners in the earlier generations, newest first, each once. The current owner may be among them.
    std::vector<HostId> earlierOwners(std::uint64_t key) const;

    /// True where the host is a member of the current view, in any state.
    bool isMember(HostId host) const;

    /// True where the host was a member of some view and is none of the current one. A host that was never
    /// seen may have joined without the news having come here.
    bool isGone(HostId host) const;

    /// Earlier generations that are remembered now.
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
    std::vector<Earlier> earlier_; ///< newest last
    std::set<HostId> gone_;
};

} // namespace medlarway
