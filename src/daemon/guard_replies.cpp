#include "daemon/guard_replies.h"

#include <utility>

namespace medlarway
{

void GuardReplies::await(ClaimId claim, GuardReply reply)
{
    pending_.insert_or_assign(claim, std::move(reply));
}

void GuardReplies::deliver(const GuardDecision &decision)
{
    auto found = pending_.extract(decision.claim);
    if (!found) {
        return;
    }
    if (decision.verdict == GuardVerdict::Run) {
        runs_.insert_or_assign(decision.key, decision.claim);
    }
    found.mapped()(decision.verdict, decision.runBefore);
}

std::optional<ClaimId> GuardReplies::takeRun(const GuardKey &key)
{
    const auto found = runs_.find(key);
    if (found == runs_.end()) {
        return std::nullopt;
    }
    const auto claim = found->second;
    runs_.erase(found);
    return claim;
}

} // namespace medlarway
