#include "model/arrivals.h"

#include "base/random.h"

#include <algorithm>
#include <cmath>

namespace medlarway::model
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

Duration fromSeconds(double value)
{
    return Duration{static_cast<Duration::rep>(value * 1e9)};
}

/// Samples a Pareto distribution with values above longMax set to longMax.
Duration sampleLongService(const Workload &workload, Random &random)
{
    const double minimum = seconds(workload.longMin);
    const double sampled = minimum / std::pow(1.0 - random.unit(), 1.0 / workload.longParetoShape);
    return std::min(fromSeconds(sampled), workload.longMax);
}

/// Samples a time that is half constant and half exponential, so that service times vary but stay predictable.
Duration sampleShortService(const Workload &workload, Random &random)
{
    constexpr Duration kMaxServiceTime = std::chrono::milliseconds{450};
    const double mean = seconds(workload.shortMean);
    return std::min(fromSeconds(0.5 * mean - 0.5 * mean * std::log(1.0 - random.unit())), kMaxServiceTime);
}

Arrival sampleRequest(const Scenario &scenario, Time at, Random &random)
{
    const Workload &workload = scenario.workload;
    Arrival arrival{.at = at, .deadline = {}};
    arrival.host = random.below(scenario.hosts.size());
    arrival.caller = random.below(workload.callers);
    const bool longPath = random.unit() < workload.longRequestShare;
    const bool unexpectedLong = random.unit() < workload.unexpectedLongShare;
    arrival.path = longPath ? 1000 + random.below(workload.longPaths) : random.below(workload.shortPaths);
    arrival.isLong = longPath || unexpectedLong;
    arrival.serviceTime = arrival.isLong ? sampleLongService(workload, random) : sampleShortService(workload, random);
    arrival.deadline = at + (longPath ? workload.longDeadline : workload.shortDeadline);
    return arrival;
}

} // namespace

// The mean of the limited Pareto distribution is that of the part below the limit plus the probability of the tail
// times the limit.
Duration meanServiceTime(const Workload &workload)
{
    const double minimum = seconds(workload.longMin);
    const double maximum = seconds(workload.longMax);
    const double shape = workload.longParetoShape;
    const double tail = std::pow(minimum / maximum, shape);
    const double body = shape * minimum / (shape - 1.0) * (1.0 - std::pow(minimum / maximum, shape - 1.0));
    const double longFraction = workload.longRequestShare + (1.0 - workload.longRequestShare) * workload.unexpectedLongShare;
    return fromSeconds(longFraction * (body + tail * maximum) + (1.0 - longFraction) * seconds(workload.shortMean));
}

double offeredLoad(const Scenario &scenario, Duration at)
{
    const double rampTime = seconds(scenario.rampTime);
    const double up = std::clamp(seconds(at - scenario.peakStart) / rampTime, 0.0, 1.0);
    const double down = std::clamp(seconds(at - scenario.peakStart - scenario.peakDuration) / rampTime, 0.0, 1.0);
    return scenario.baseLoad * (1.0 + (scenario.peakFactor - 1.0) * (up - down));
}

// Poisson arrivals of varying rate by thinning: candidates are generated at the peak rate, and each is kept with a
// probability equal to the ratio of the offered load at its time to the peak load.
std::vector<Arrival> generateArrivals(const Scenario &scenario, std::uint64_t seed)
{
    Random random{seed};
    const double slots = static_cast<double>(scenario.service.upstreams.size()) * scenario.service.limits.slotsPerUpstream;
    const double maxLoad = scenario.baseLoad * std::max(scenario.peakFactor, 1.0);
    const double rate = maxLoad * slots / seconds(meanServiceTime(scenario.workload));
    std::vector<Arrival> arrivals;
    Time at{};
    while (true) {
        at += fromSeconds(-std::log(1.0 - random.unit()) / rate);
        if (at.time_since_epoch() >= scenario.end) {
            return arrivals;
        }
        const bool kept = random.unit() * maxLoad < offeredLoad(scenario, at.time_since_epoch());
        const Arrival arrival = sampleRequest(scenario, at, random);
        if (kept) {
            arrivals.push_back(arrival);
        }
    }
}

} // namespace medlarway::model
