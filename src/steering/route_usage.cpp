#include "steering/route_usage.h"

#include <algorithm>

namespace medlarway
{

namespace
{

// Weight of a sample in the moving averages. At five samples a second they cover about the last ten seconds.
constexpr double kSampleWeight = 0.02;

// Assumed busy share of a route without samples, and the number of flows that this assumption is weighted as.
constexpr double kPriorShare = 0.2;
constexpr double kPriorFlows = 0.5;

double busyShareFrom(const RouteUsage &usage)
{
    return std::min(1.0, (usage.runningAverage + kPriorShare * kPriorFlows) / (usage.openAverage + kPriorFlows));
}

} // namespace

std::uint32_t RouteUsageTable::indexOf(const Endpoint &address)
{
    const auto [found, isNew] = byAddress_.try_emplace(address, static_cast<std::uint32_t>(usages_.size()));
    if (isNew) {
        usages_.emplace_back();
    }
    return found->second;
}

std::optional<std::uint32_t> RouteUsageTable::find(const Endpoint &address) const
{
    const auto found = byAddress_.find(address);
    return found == byAddress_.end() ? std::nullopt : std::optional(found->second);
}

double RouteUsageTable::busyShare(std::uint32_t index) const
{
    return busyShareFrom(usages_[index]);
}

double RouteUsageTable::busyShareOf(const Endpoint &address) const
{
    const auto found = byAddress_.find(address);
    return busyShareFrom(found == byAddress_.end() ? RouteUsage{} : usages_[found->second]);
}

void RouteUsageTable::sample()
{
    for (auto &usage : usages_) {
        usage.openAverage += kSampleWeight * (usage.open - usage.openAverage);
        usage.runningAverage += kSampleWeight * (usage.running - usage.runningAverage);
    }
}

} // namespace medlarway
