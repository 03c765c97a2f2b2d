#include "steering/route_usage.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Weight of one sample: at five samples a second the average covers about the last ten seconds.
constexpr double kSampleWeight = 0.02;

// What is assumed of a route before its flows were seen, and how many flows that assumption counts as.
constexpr double kPriorShare = 0.2;
constexpr double kPriorFlows = 0.5;

} // namespace

std::uint32_t RouteUsages::indexOf(const Endpoint &address)
{
    const auto [found, isNew] = byAddress_.try_emplace(address, static_cast<std::uint32_t>(usages_.size()));
    if (isNew) {
        usages_.emplace_back();
    }
    return found->second;
}

double RouteUsages::busyShare(std::uint32_t index) const
{
    const auto &usage = usages_[index];
    return std::min(1.0, (usage.runningAverage + kPriorShare * kPriorFlows) / (usage.openAverage + kPriorFlows));
}

void RouteUsages::sample()
{
    for (auto &usage : usages_) {
        usage.openAverage += kSampleWeight * (usage.open - usage.openAverage);
        usage.runningAverage += kSampleWeight * (usage.running - usage.runningAverage);
    }
}

} // namespace medlarway
