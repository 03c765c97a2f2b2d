#pragma once

#include "model/fleet.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway::model
{

/// What one run, or the worst of several, comes to. Shares are between 0 and 1.
struct Measures {
    double broken = 0; ///< share of all requests that may have run and got no answer
    double imbalance = 0; ///< coefficient of variation of the upstreams' busy share
    double highestOverMean = 0; ///< of the upstreams' busy share
    double inDeadline = 0; ///< share of the requests that arrived at the crest answered in time
    double goodput = 0; ///< of those, answered a second
    double longInDeadline = 0; ///< as inDeadline, of long work alone
    double shortP50Ms = 0; ///< of short requests answered, long work running beside them
    double shortP99Ms = 0;
    double overSubscribed = 0; ///< share of starts that found all slots taken
    double messagesPerHost = 0; ///< to peers, a second
    std::uint64_t neverEnded = 0; ///< requests without an outcome: always a fault
};

/// Measures a finished run.
Measures measure(const Scenario &scenario, const Fleet &fleet);

/// The worse value of each measure; higherIsBetter ones the lower.
Measures worstOf(const Measures &first, const Measures &second);

/// The mean of each measure.
Measures meanOf(const std::vector<Measures> &all);

/// The value below which the share of the values lies; 0 of none.
double quantile(std::vector<double> values, double share);

} // namespace medlarway::model
