#include "daemon/guard_replies.h"

#include <utility>

namespace medlarway
{

void GuardReplies::await(ClaimId ask, GuardReply reply)
{
    waiting_.insert_or_assign(ask, std::move(reply));
}

void GuardReplies::deliver(const GuardDecision &decision)
{
    auto found = waiting_.extract(decision.claim);
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
    const auto ask = found->second;
    runs_.erase(found);
    return ask;
}

} // namespace medlarway
