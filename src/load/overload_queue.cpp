#include "load/overload_queue.h"

#include <algorithm>

namespace medlarway
{

void OverloadQueue::push(const WaitingFlow &flow)
{
    flows_.insert(std::upper_bound(flows_.begin(), flows_.end(), flow), flow);
}

std::optional<WaitingFlow> OverloadQueue::remove(std::uint64_t id)
{
    const auto found = std::find_if(flows_.begin(), flows_.end(), [id](const WaitingFlow &flow) { return flow.id == id; });
    if (found == flows_.end()) {
        return std::nullopt;
    }
    const auto flow = *found;
    flows_.erase(found);
    return flow;
}

} // namespace medlarway
