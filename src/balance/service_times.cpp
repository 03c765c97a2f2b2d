#include "balance/service_times.h"

#include <algorithm>
#include <cmath>

namespace medlarway
{

void ServiceTimes::addSample(std::uint64_t path, Duration runTime)
{
    const auto runTimeNs = static_cast<double>(runTime.count());
    update(overall_, runTimeNs);

    // A caller that invents paths must not grow the table without limit. A full table is cleared, since the paths
    // in frequent use get new estimates within a few requests.
    if (paths_.size() >= kMaxPaths && !paths_.contains(path)) {
        paths_.clear();
    }
    update(paths_[path], runTimeNs);
}

Duration ServiceTimes::expected(std::uint64_t path) const
{
    return Duration{static_cast<Duration::rep>(estimateOf(path).meanNs)};
}

Duration ServiceTimes::lowEstimate(std::uint64_t path) const
{
    const Estimate &estimate = estimateOf(path);
    return Duration{static_cast<Duration::rep>(std::max(0.0, estimate.meanNs - estimate.deviationNs))};
}

bool ServiceTimes::isLong(std::uint64_t path) const
{
    const auto found = paths_.find(path);
    return found != paths_.end() && found->second.meanNs > static_cast<double>(shortBound_.count());
}

Duration ServiceTimes::mean() const
{
    return Duration{static_cast<Duration::rep>(overall_.meanNs)};
}

// Exponentially weighted moving averages of the time and of its deviation, as in TCP's round-trip time estimate.
void ServiceTimes::update(Estimate &estimate, double runTimeNs)
{
    constexpr double kGain = 0.125;
    if (!estimate.hasSamples) {
        estimate = Estimate{.meanNs = runTimeNs, .deviationNs = runTimeNs / 2, .hasSamples = true};
        return;
    }
    const double error = runTimeNs - estimate.meanNs;
    estimate.meanNs += kGain * error;
    estimate.deviationNs += kGain * (std::abs(error) - estimate.deviationNs);
}

const ServiceTimes::Estimate &ServiceTimes::estimateOf(std::uint64_t path) const
{
    const auto found = paths_.find(path);
    return found == paths_.end() ? overall_ : found->second;
}

} // namespace medlarway
