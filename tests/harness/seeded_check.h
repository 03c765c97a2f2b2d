#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <string>
#include <utility>

namespace medlarway
{

/// Checks a property with RapidCheck, with a fixed seed and number of runs. The environment variables MEDLARWAY_FUZZ_SEED
/// and MEDLARWAY_FUZZ_RUNS override them. Generated values grow up to maxSize. On failure, prints the seed and the shrunk
/// counterexample and returns false.
template<class Property>
bool seededCheck(const std::string &name, std::uint64_t seed, int runs, int maxSize, Property &&property)
{
    const auto *runsOverride = std::getenv("MEDLARWAY_FUZZ_RUNS");
    const auto *seedOverride = std::getenv("MEDLARWAY_FUZZ_SEED");
    rc::detail::TestParams params;
    params.seed = seedOverride != nullptr ? std::strtoull(seedOverride, nullptr, 10) : seed;
    params.maxSuccess = runsOverride != nullptr ? std::atoi(runsOverride) : runs;
    params.maxSize = maxSize;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    const bool passed = result.template is<rc::detail::SuccessResult>();
    if (!passed) {
        std::cerr << name << ": seed " << params.seed << "\n";
        rc::detail::printResultMessage(result, std::cerr);
        std::cerr << "\n";
    }
    return passed;
}

} // namespace medlarway
