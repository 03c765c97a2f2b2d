#pragma once

#include "model/measures.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway::model
{

/// The results of one scenario under one policy with all seeds.
struct BenchRow {
    std::string scenario;
    std::string policy;
    std::vector<Measures> bySeed; ///< in the order of the seeds
    Measures mean;
    Measures worst;
};

/// All policies of the benchmark: the plain ones, those that share slots, and the omniscient reference.
std::vector<Policy> comparedPolicies();

/// The policy of that name; throws Error{BadSettings} if there is none.
Policy policyOf(std::string_view name);

/// Runs each scenario under each policy with the seeds 1 to `seeds`.
std::vector<BenchRow> runBench(const std::vector<Scenario> &scenarios, const std::vector<Policy> &policies, std::uint64_t seeds);

/// A text table of the means over the seeds, with the worst values of the fraction in time and of the p99 latency.
std::string benchAsTable(const std::vector<BenchRow> &rows);

/// CSV with a header line and one line for each scenario, policy and seed.
std::string benchAsCsv(const std::vector<BenchRow> &rows);

/// A hash of the CSV: differs if any measure of any run differs.
std::uint64_t benchSignature(const std::vector<BenchRow> &rows);

} // namespace medlarway::model
