#include "model/fake_upstream.h"

#include <algorithm>

namespace medlarway::model
{

Duration FakeUpstream::start(std::uint64_t attempt, Duration serviceTime, Time now)
{
    running_.emplace(attempt, now);
    if (coldRequests == 0) {
        return serviceTime;
    }
    --coldRequests;
    return serviceTime + kColdDelay;
}

bool FakeUpstream::finish(std::uint64_t attempt, Time now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return false;
    }
    const Time begin = std::max(found->second, windowStart_);
    busy_ += std::max(std::min(now, windowEnd_) - begin, Duration{0});
    running_.erase(found);
    return true;
}

} // namespace medlarway::model
