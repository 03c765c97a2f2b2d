#include "flows/flow_lookups.h"

#include <utility>

namespace medlarway
{

FlowLookup *FlowLookups::find(const FlowKey &key)
{
    const auto found = running_.find(key);
    return found == running_.end() ? nullptr : &found->second;
}

FlowLookup &FlowLookups::start(const FlowKey &key, std::vector<HostId> queriedHosts, Time now)
{
    const auto deadline = now + timeout_;
    deadlines_.push_back({deadline, key});
    auto &lookup = running_[key];
    lookup = FlowLookup{std::move(queriedHosts), {}, deadline};
    return lookup;
}

FlowLookup FlowLookups::take(const FlowKey &key)
{
    const auto found = running_.find(key);
    auto lookup = std::move(found->second);
    running_.erase(found);
    return lookup;
}

std::optional<FlowKey> FlowLookups::popExpired(Time now)
{
    while (!deadlines_.empty() && deadlines_.front().at <= now) {
        const auto key = deadlines_.front().key;
        deadlines_.pop_front();
        const auto *lookup = find(key);
        if (lookup != nullptr && lookup->deadline <= now) {
            return key;
        }
    }
    return std::nullopt;
}

} // namespace medlarway
