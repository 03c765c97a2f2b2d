#include "membership/probe_order.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

void ProbeOrder::insert(HostId host, Random &random)
{
    remaining_.push_back(host);
    std::swap(remaining_.back(), remaining_[random.below(remaining_.size())]);
}

void ProbeOrder::startRound(std::vector<HostId> hosts, Random &random)
{
    remaining_ = std::move(hosts);
    std::shuffle(remaining_.begin(), remaining_.end(), random);
}

} // namespace medlarway
