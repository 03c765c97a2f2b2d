#include "membership/update_queue.h"

namespace medlarway
{

void UpdateQueue::put(const MembershipUpdate &update)
{
    erase(update.host);
    const Entry entry{update, 0, nextSequence_++};
    order_.emplace(entry.sendCount, entry.sequence, update.host);
    entries_.emplace(update.host, entry);
}

void UpdateQueue::erase(HostId host)
{
    const auto found = entries_.find(host);
    if (found == entries_.end()) {
        return;
    }
    order_.erase(Key{found->second.sendCount, found->second.sequence, host});
    entries_.erase(found);
}

// Takes the least often sent updates first: a new update reaches its first recipients at once, even
// while hundreds of updates about a lost zone are queued.
void UpdateQueue::take(std::size_t limit, std::uint32_t maxSends, std::vector<MembershipUpdate> &updates)
{
    std::vector<HostId> taken;
    for (const auto &key : order_) {
        if (taken.size() == limit) {
            break;
        }
        taken.push_back(std::get<HostId>(key));
    }
    for (const auto host : taken) {
        auto &entry = entries_.at(host);
        updates.push_back(entry.update);
        order_.erase(Key{entry.sendCount, entry.sequence, host});
        ++entry.sendCount;
        if (entry.sendCount >= maxSends) {
            entries_.erase(host);
        } else {
            order_.emplace(entry.sendCount, entry.sequence, host);
        }
    }
}

} // namespace medlarway
