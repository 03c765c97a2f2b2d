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

/// A query to other hosts for the holder of a flow.
struct FlowLookup {
    std::vector<HostId> unanswered; ///< queried hosts that have not responded yet
    std::vector<HostId> deferredClaims; ///< hosts that claimed the flow during the look-up; they get a response when it ends
    Time deadline;
};

/// The look-ups in progress on one host. All have the same timeout.
class FlowLookups
{
public:
    explicit FlowLookups(Duration timeout)
        : timeout_(timeout)
    {
    }

    /// The look-up in progress for the flow; nullptr if there is none.
    FlowLookup *find(const FlowKey &key);

    /// Starts a look-up. The flow must not have one in progress.
    FlowLookup &start(const FlowKey &key, std::vector<HostId> queriedHosts, Time now);

    /// Removes the look-up of the flow, which must have one, and returns it.
    FlowLookup take(const FlowKey &key);

    /// A flow whose look-up is past its deadline; nullopt if there is none. The look-up itself stays until take().
    std::optional<FlowKey> popExpired(Time now);

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
    std::deque<Deadline> deadlines_; ///< in ascending order; may contain look-ups that have already ended
};

} // namespace medlarway
