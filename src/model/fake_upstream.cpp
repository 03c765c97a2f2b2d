#include "model/fake_upstream.h"

#include <algorithm>

namespace medlarway::model
{

Duration FakeUpstream::start(std::uint64_t attempt, Duration work, Time now)
{
    running_.emplace(attempt, now);
    if (coldRequests == 0) {
        return work;
    }
    --coldRequests;
    return work + kColdDelay;
}

bool FakeUpstream::end(std::uint64_t attempt, Time now)
{
    const auto found = running_.find(attempt);
    if (found == running_.end()) {
        return false;
    }
    const Time begin = std::max(found->second, from_);
    busy_ += std::max(std::min(now, until_) - begin, Duration{0});
    running_.erase(found);
    return true;
}

} // namespace medlarway::model
