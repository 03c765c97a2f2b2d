#pragma once

#include "guard/key_guard.h"

#include <functional>
#include <map>
#include <optional>

namespace medlarway
{

/// Receives the verdict on a claim. With Run, the request must be sent before runBefore or not at all.
using GuardReply = std::function<void(GuardVerdict, Time runBefore)>;

/// Maps each pending claim of the key guard to its reply function, and each key with a granted run to its claim.
/// Not thread-safe.
class GuardReplies
{
public:
    /// Registers the reply function of a pending claim.
    void await(ClaimId claim, GuardReply reply);

    /// Calls the reply function of the claim with its verdict. Ignores claims that are not pending.
    void deliver(const GuardDecision &decision);

    /// Removes the run that was granted for the key and returns its claim; nullopt if there is none.
    std::optional<ClaimId> takeRun(const GuardKey &key);

    /// Number of claims without a verdict.
    std::size_t pending() const
    {
        return pending_.size();
    }

private:
    std::map<ClaimId, GuardReply> pending_;
    std::map<GuardKey, ClaimId> runs_;
};

} // namespace medlarway
