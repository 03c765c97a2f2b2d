#include "model/measures.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace medlarway::model
{

namespace
{

double seconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/// How long the upstream was neither down nor draining within the measured window.
Duration availableTime(const Scenario &scenario, std::size_t upstream)
{
    Duration available = scenario.end - scenario.warmUp;
    for (const Fault &fault : scenario.faults) {
        if (fault.target != upstream || (fault.kind != FaultKind::UpstreamDown && fault.kind != FaultKind::UpstreamDrains)) {
            continue;
        }
        const Duration from = std::max(fault.start, scenario.warmUp);
        const Duration until = std::min(fault.start + fault.duration, scenario.end);
        available -= std::max(until - from, Duration{0});
    }
    return available;
}

/// The busy time of each upstream's slots in proportion to the time that it was available.
std::vector<double> busyShares(const Scenario &scenario, const Simulation &simulation)
{
    std::vector<double> shares;
    for (std::size_t i = 0; i < simulation.upstreams().size(); ++i) {
        shares.push_back(seconds(simulation.upstreams()[i].busy()) / seconds(availableTime(scenario, i)));
    }
    return shares;
}

void measureImbalance(const std::vector<double> &shares, Measures &measures)
{
    const double count = static_cast<double>(shares.size());
    const double mean = std::accumulate(shares.begin(), shares.end(), 0.0) / count;
    double squares = 0;
    for (const double share : shares) {
        squares += (share - mean) * (share - mean);
    }
    measures.imbalance = std::sqrt(squares / count) / mean;
    measures.highestOverMean = *std::max_element(shares.begin(), shares.end()) / mean;
}

double ratio(std::uint64_t part, std::uint64_t whole)
{
    return whole == 0 ? 0.0 : static_cast<double>(part) / static_cast<double>(whole);
}

} // namespace

Measures measure(const Scenario &scenario, const Simulation &simulation)
{
    Measures measures;
    std::uint64_t counted = 0;
    std::uint64_t broken = 0;
    std::uint64_t peakCount = 0;
    std::uint64_t peakInTime = 0;
    std::uint64_t peakLong = 0;
    std::uint64_t peakLongInTime = 0;
    std::vector<double> shortMs;
    const Time peakFrom = Time{} + scenario.peakStart;
    const Time peakUntil = peakFrom + scenario.peakDuration;
    for (const RequestRecord &record : simulation.records()) {
        if (record.arrival.at < Time{} + scenario.warmUp) {
            continue;
        }
        ++counted;
        broken += record.result == RequestResult::Unknown ? 1 : 0;
        measures.neverEnded += record.result == RequestResult::Pending ? 1 : 0;
        const bool inTime = record.result == RequestResult::Completed;
        if (record.arrival.at >= peakFrom && record.arrival.at < peakUntil) {
            ++peakCount;
            peakInTime += inTime ? 1 : 0;
            peakLong += record.arrival.isLong ? 1 : 0;
            peakLongInTime += record.arrival.isLong && inTime ? 1 : 0;
        }
        if (inTime && !record.arrival.isLong) {
            shortMs.push_back(seconds(record.endedAt - record.arrival.at) * 1e3);
        }
    }
    measures.broken = ratio(broken, counted);
    measures.inDeadline = ratio(peakInTime, peakCount);
    measures.goodput = static_cast<double>(peakInTime) / seconds(scenario.peakDuration);
    measures.longInDeadline = ratio(peakLongInTime, peakLong);
    measures.shortP50Ms = quantile(shortMs, 0.5);
    measures.shortP99Ms = quantile(shortMs, 0.99);
    measures.overSubscribed = ratio(simulation.totals().shedFull, simulation.totals().starts);
    measures.messagesPerHost
        = static_cast<double>(simulation.totals().messages) / static_cast<double>(scenario.hosts.size()) / seconds(scenario.end);
    measureImbalance(busyShares(scenario, simulation), measures);
    return measures;
}

Measures worstOf(const Measures &first, const Measures &second)
{
    return Measures{.broken = std::max(first.broken, second.broken),
                    .imbalance = std::max(first.imbalance, second.imbalance),
                    .highestOverMean = std::max(first.highestOverMean, second.highestOverMean),
                    .inDeadline = std::min(first.inDeadline, second.inDeadline),
                    .goodput = std::min(first.goodput, second.goodput),
                    .longInDeadline = std::min(first.longInDeadline, second.longInDeadline),
                    .shortP50Ms = std::max(first.shortP50Ms, second.shortP50Ms),
                    .shortP99Ms = std::max(first.shortP99Ms, second.shortP99Ms),
                    .overSubscribed = std::max(first.overSubscribed, second.overSubscribed),
                    .messagesPerHost = std::max(first.messagesPerHost, second.messagesPerHost),
                    .neverEnded = first.neverEnded + second.neverEnded};
}

Measures meanOf(const std::vector<Measures> &all)
{
    Measures sum;
    for (const Measures &measures : all) {
        sum.broken += measures.broken;
        sum.imbalance += measures.imbalance;
        sum.highestOverMean += measures.highestOverMean;
        sum.inDeadline += measures.inDeadline;
        sum.goodput += measures.goodput;
        sum.longInDeadline += measures.longInDeadline;
        sum.shortP50Ms += measures.shortP50Ms;
        sum.shortP99Ms += measures.shortP99Ms;
        sum.overSubscribed += measures.overSubscribed;
        sum.messagesPerHost += measures.messagesPerHost;
        sum.neverEnded += measures.neverEnded;
    }
    const double count = std::max<double>(static_cast<double>(all.size()), 1.0);
    for (double *value : {&sum.broken, &sum.imbalance, &sum.highestOverMean, &sum.inDeadline, &sum.goodput, &sum.longInDeadline,
                          &sum.shortP50Ms, &sum.shortP99Ms, &sum.overSubscribed, &sum.messagesPerHost}) {
        *value /= count;
    }
    return sum;
}

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    const auto index = std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(index), values.end());
    return values[index];
}

} // namespace medlarway::model
