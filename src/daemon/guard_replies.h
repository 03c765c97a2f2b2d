#pragma once

#include "guard/key_guard.h"

#include <functional>
#include <map>
#include <optional>

namespace medlarway
{

/// Takes the verdict on an ask; of Run, the request is sent before the moment or not at all.
using GuardReply = std::function<void(GuardVerdict, Time runBefore)>;

/// Who waits for which verdict of the key guard, and which run belongs to which ask. Not thread-safe.
class GuardReplies
{
public:
    /// The ask waits for its verdict.
    void await(ClaimId ask, GuardReply reply);

    /// Hands a verdict to the one who waits for it.
    void deliver(const GuardDecision &decision);

    /// The ask of the run that was granted for the key, which is then forgotten; nullopt where there is none.
    std::optional<ClaimId> takeRun(const GuardKey &key);

    /// Asks that wait.
    std::size_t waiting() const
    {
        return waiting_.size();
    }

private:
    std::map<ClaimId, GuardReply> waiting_;
    std::map<GuardKey, ClaimId> runs_;
};

} // namespace medlarway
