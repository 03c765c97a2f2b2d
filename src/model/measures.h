#pragma once

#include "model/simulation.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway::model
{

/// The results of one run, or the mean or worst of several. Fractions are between 0 and 1.
struct Measures {
    double broken = 0; ///< fraction of all requests that may have run but got no response
    double imbalance = 0; ///< coefficient of variation of the upstreams' utilization
    double highestOverMean = 0; ///< highest utilization of an upstream over the mean utilization
    double inDeadline = 0; ///< fraction of the requests arriving at the peak that completed by their deadline
    double goodput = 0; ///< requests arriving at the peak that completed by their deadline, per second of the peak
    double longInDeadline = 0; ///< as inDeadline, counting only long requests
    double shortP50Ms = 0; ///< median latency of completed short requests, with long requests running beside them
    double shortP99Ms = 0; ///< 99th percentile of the latency of completed short requests
    double overSubscribed = 0; ///< fraction of starts that the upstream refused because all its slots were in use
    double messagesPerHost = 0; ///< messages to peers per host and second
    std::uint64_t neverEnded = 0; ///< requests without a result; anything but 0 is an error
};

/// Measures a finished run.
Measures measure(const Scenario &scenario, const Simulation &simulation);

/// The worse value of each measure: the minimum of inDeadline, longInDeadline and goodput, the sum of neverEnded, and
/// the maximum of all others.
Measures worstOf(const Measures &first, const Measures &second);

/// The mean of each measure, but the sum of neverEnded.
Measures meanOf(const std::vector<Measures> &all);

/// The quantile of the values, for example the median with a `share` of 0.5; 0 if there are no values.
double quantile(std::vector<double> values, double share);

} // namespace medlarway::model
