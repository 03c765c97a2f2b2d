#pragma once

#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <rapidcheck.h>
#include <string>
#include <utility>

namespace medlarway
{

/// Checks a property with RapidCheck, always from the same seed. MEDLARWAY_FUZZ_RUNS and MEDLARWAY_FUZZ_SEED
/// in the environment give longer and other runs. Prints the seed and the shrunk example on failure.
template<class Property>
bool seededCheck(const std::string &name, std::uint64_t seed, int runs, int longest, Property &&property)
{
    const auto *otherRuns = std::getenv("MEDLARWAY_FUZZ_RUNS");
    const auto *otherSeed = std::getenv("MEDLARWAY_FUZZ_SEED");
    rc::detail::TestParams params;
    params.seed = otherSeed != nullptr ? std::strtoull(otherSeed, nullptr, 10) : seed;
    params.maxSuccess = otherRuns != nullptr ? std::atoi(otherRuns) : runs;
    params.maxSize = longest;
    rc::detail::TestMetadata metadata;
    metadata.id = name;
    metadata.description = name;
    const auto result = rc::detail::checkTestable(std::forward<Property>(property), metadata, params);
    const bool held = result.template is<rc::detail::SuccessResult>();
    if (!held) {
        std::cerr << name << ": seed " << params.seed << "\n";
        rc::detail::printResultMessage(result, std::cerr);
        std::cerr << "\n";
    }
    return held;
}

} // namespace medlarway
