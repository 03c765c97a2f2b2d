#include "entry/syn_copies.h"

#include <utility>

namespace medlarway
{

void SynCopies::keep(const FlowId &flow, std::span<const std::uint8_t> datagram, Time now)
{
    if (copies_.size() >= kMaxSynsKept) {
        expire(now);
    }
    if (copies_.size() < kMaxSynsKept || copies_.contains(flow)) {
        copies_[flow] = {{datagram.begin(), datagram.end()}, now};
    }
}

std::vector<std::uint8_t> *SynCopies::find(const FlowId &flow)
{
    const auto found = copies_.find(flow);
    return found == copies_.end() ? nullptr : &found->second.datagram;
}

std::vector<std::uint8_t> SynCopies::take(const FlowId &flow)
{
    std::vector<std::uint8_t> datagram;
    const auto found = copies_.find(flow);
    if (found != copies_.end()) {
        datagram = std::move(found->second.datagram);
        copies_.erase(found);
    }
    return datagram;
}

void SynCopies::expire(Time now)
{
    boost::unordered::erase_if(copies_, [now](const auto &item) { return now - item.second.keptAt > kSynKeepTime; });
}

} // namespace medlarway
