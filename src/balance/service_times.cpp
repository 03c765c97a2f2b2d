#include "balance/service_times.h"

#include <algorithm>
#include <cmath>

namespace medlarway
{

void ServiceTimes::learn(std::uint64_t path, Duration ran)
{
    const auto ranNs = static_cast<double>(ran.count());
    update(all_, ranNs);

    // A caller that makes up paths must not grow the table; a full one starts anew, since
    // the paths that matter are learned again within a few requests.
    if (paths_.size() >= kMostPaths && !paths_.contains(path)) {
        paths_.clear();
    }
    update(paths_[path], ranNs);
}

Duration ServiceTimes::expected(std::uint64_t path) const
{
    return Duration{static_cast<Duration::rep>(estimateOf(path).meanNs)};
}

Duration ServiceTimes::least(std::uint64_t path) const
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
    return Duration{static_cast<Duration::rep>(all_.meanNs)};
}

// Moving averages of the time and of its distance from the average, as TCP keeps them
// of its round trips.
void ServiceTimes::update(Estimate &estimate, double ranNs)
{
    constexpr double kGain = 0.125;
    if (!estimate.known) {
        estimate = Estimate{.meanNs = ranNs, .deviationNs = ranNs / 2, .known = true};
        return;
    }
    const double error = ranNs - estimate.meanNs;
    estimate.meanNs += kGain * error;
    estimate.deviationNs += kGain * (std::abs(error) - estimate.deviationNs);
}

const ServiceTimes::Estimate &ServiceTimes::estimateOf(std::uint64_t path) const
{
    const auto found = paths_.find(path);
    return found == paths_.end() ? all_ : found->second;
}

} // namespace medlarway
