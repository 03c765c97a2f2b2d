#pragma once

#include "base/host.h"
#include "base/time.h"
#include "flows/flow_key.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

namespace medlarway
{

/// A flow whose holder other hosts are being asked for.
struct FlowLookup {
    std::vector<HostId> awaiting; ///< asked, not answered yet
    std::vector<HostId> deferred; ///< asked this host in the meantime; answered when the look-up ends
    Time deadline;
};

/// The look-ups that run on one host, each ended at the latest after the same time.
class FlowLookups
{
public:
    explicit FlowLookups(Duration timeout)
        : timeout_(timeout)
    {
    }

    /// The flow's look-up; nullptr where none runs.
    FlowLookup *find(const FlowKey &key);

    /// Starts one. The flow has none yet.
    FlowLookup &start(const FlowKey &key, std::vector<HostId> asked, Time now);

    /// Ends one and returns it.
    FlowLookup take(const FlowKey &key);

    /// A flow whose look-up is past its deadline; nullopt where there is none.
    std::optional<FlowKey> overdue(Time now);

    std::size_t size() const
    {
        return running_.size();
    }

private:
    struct Hash {
        std::size_t operator()(const FlowKey &key) const noexcept
        {
            return flowHash(key);
        }
    };

    struct Deadline {
        Time at;
        FlowKey key;
    };

    Duration timeout_;
    std::unordered_map<FlowKey, FlowLookup, Hash> running_;
    std::deque<Deadline> deadlines_; ///< in order of time; may name look-ups that have ended
};

} // namespace medlarway
