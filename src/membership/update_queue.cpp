#include "membership/update_queue.h"

namespace medlarway
{

void UpdateQueue::put(const MembershipUpdate &update)
{
    erase(update.host);
    const Entry entry{update, 0, nextNumber_++};
    order_.emplace(entry.sent, entry.number, update.host);
    entries_.emplace(update.host, entry);
}

void UpdateQueue::erase(HostId host)
{
    const auto found = entries_.find(host);
    if (found == entries_.end()) {
        return;
    }
    order_.erase(Key{found->second.sent, found->second.number, host});
    entries_.erase(found);
}

// The least sent first: a new claim reaches its first few hosts at once, also
// while hundreds of claims of a lost zone wait.
void UpdateQueue::take(std::size_t limit, std::uint32_t maxSent, std::vector<MembershipUpdate> &updates)
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
        order_.erase(Key{entry.sent, entry.number, host});
        ++entry.sent;
        if (entry.sent >= maxSent) {
            entries_.erase(host);
        } else {
            order_.emplace(entry.sent, entry.number, host);
        }
    }
}

} // namespace medlarway
