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

/// A Pareto law cut off at both ends.
Duration drawLong(const WorkMix &work, Random &random)
{
    const double least = seconds(work.longLeast);
    const double drawn = least / std::pow(1.0 - random.unit(), 1.0 / work.longShape);
    return std::min(fromSeconds(drawn), work.longMost);
}

/// Half fixed, half exponential, so that a path's times spread without being arbitrary.
Duration drawShort(const WorkMix &work, Random &random)
{
    constexpr Duration kMost = std::chrono::milliseconds{450};
    const double mean = seconds(work.shortMean);
    return std::min(fromSeconds(0.5 * mean - 0.5 * mean * std::log(1.0 - random.unit())), kMost);
}

Arrival drawRequest(const Scenario &scenario, Time at, Random &random)
{
    const WorkMix &work = scenario.work;
    Arrival arrival{.at = at, .deadline = {}};
    arrival.host = random.below(scenario.hosts.size());
    arrival.caller = random.below(work.callers);
    const bool longPath = random.unit() < work.longShare;
    const bool surprise = random.unit() < work.surpriseShare;
    arrival.path = longPath ? 1000 + random.below(work.longPaths) : random.below(work.shortPaths);
    arrival.isLong = longPath || surprise;
    arrival.work = arrival.isLong ? drawLong(work, random) : drawShort(work, random);
    arrival.deadline = at + (longPath ? work.longDeadline : work.shortDeadline);
    return arrival;
}

} // namespace

// The mean of the cut Pareto law: the body up to the cut, and the mass beyond it at the cut.
Duration meanWork(const WorkMix &work)
{
    const double least = seconds(work.longLeast);
    const double most = seconds(work.longMost);
    const double shape = work.longShape;
    const double tail = std::pow(least / most, shape);
    const double body = shape * least / (shape - 1.0) * (1.0 - std::pow(least / most, shape - 1.0));
    const double longShare = work.longShare + (1.0 - work.longShare) * work.surpriseShare;
    return fromSeconds(longShare * (body + tail * most) + (1.0 - longShare) * seconds(work.shortMean));
}

double offeredLoad(const Scenario &scenario, Duration at)
{
    const double rise = seconds(scenario.rise);
    const double up = std::clamp(seconds(at - scenario.crestAt) / rise, 0.0, 1.0);
    const double down = std::clamp(seconds(at - scenario.crestAt - scenario.crestSpan) / rise, 0.0, 1.0);
    return scenario.baseLoad * (1.0 + (scenario.crestFactor - 1.0) * (up - down));
}

// Thinning: candidates come at the crest's rate, each is kept with the share of that rate that
// the load has at its time.
std::vector<Arrival> drawArrivals(const Scenario &scenario, std::uint64_t seed)
{
    Random random{seed};
    const double slots = static_cast<double>(scenario.service.upstreams.size()) * scenario.service.limits.slotsPerUpstream;
    const double highest = scenario.baseLoad * std::max(scenario.crestFactor, 1.0);
    const double rate = highest * slots / seconds(meanWork(scenario.work));
    std::vector<Arrival> arrivals;
    Time at{};
    while (true) {
        at += fromSeconds(-std::log(1.0 - random.unit()) / rate);
        if (at.time_since_epoch() >= scenario.end) {
            return arrivals;
        }
        const bool kept = random.unit() * highest < offeredLoad(scenario, at.time_since_epoch());
        const Arrival arrival = drawRequest(scenario, at, random);
        if (kept) {
            arrivals.push_back(arrival);
        }
    }
}

} // namespace medlarway::model
