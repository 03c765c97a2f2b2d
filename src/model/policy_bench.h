#pragma once

#include "model/measures.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway::model
{

/// One scenario under one policy over all seeds.
struct BenchRow {
    std::string scenario;
    std::string policy;
    std::vector<Measures> bySeed; ///< in the order of the seeds
    Measures mean;
    Measures worst;
};

/// Every policy that is compared: the plain ones, the ways of sharing, the limit.
std::vector<Policy> comparedPolicies();

/// The policy of that name; throws Error{BadSettings} where there is none.
Policy policyOf(std::string_view name);

/// Runs each scenario under each policy with the seeds 1 to `seeds`.
std::vector<BenchRow> runBench(const std::vector<Scenario> &scenarios, const std::vector<Policy> &policies, std::uint64_t seeds);

/// A table for people: the mean over the seeds and, where they matter, the worst.
std::string benchAsTable(const std::vector<BenchRow> &rows);

/// One line for each scenario, policy and seed, with a head line.
std::string benchAsCsv(const std::vector<BenchRow> &rows);

/// One number for all decisions of all runs; it changes where any measure does.
std::uint64_t benchSignature(const std::vector<BenchRow> &rows);

} // namespace medlarway::model
