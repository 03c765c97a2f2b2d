#include "ctl/arguments.h"
#include "ctl/command.h"
#include "model/policy_bench.h"

#include <charconv>
#include <fmt/format.h>

namespace medlarway
{

namespace
{

constexpr std::uint64_t kDefaultSeeds = 10;
constexpr std::uint64_t kMaxSeeds = 1000;

/// The value of --seeds; 0 if it is not a number up to kMaxSeeds.
std::uint64_t parseSeeds(const Arguments &arguments)
{
    if (!arguments.has("seeds")) {
        return kDefaultSeeds;
    }
    const std::string text = arguments.value("seeds");
    std::uint64_t seeds = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seeds);
    const bool valid = error == std::errc{} && end == text.data() + text.size();
    return valid && seeds <= kMaxSeeds ? seeds : 0;
}

} // namespace

int runBench(const std::vector<std::string> &arguments)
{
    const std::optional<Arguments> parsed = parseArguments(arguments, 0, {.withValue = {"seeds"}, .flags = {"csv"}});
    if (!parsed) {
        return kExitUsage;
    }
    const std::uint64_t seeds = parseSeeds(*parsed);
    if (seeds == 0) {
        fmt::print(stderr, "--seeds must be a number from 1 to {}\n", kMaxSeeds);
        return kExitUsage;
    }
    const std::vector<model::BenchRow> rows = model::runBench(model::standardScenarios(), model::comparedPolicies(), seeds);
    if (parsed->has("csv")) {
        fmt::print("{}", model::benchAsCsv(rows));
        return kExitOk;
    }
    fmt::print("{}Bench: {}\n", model::benchAsTable(rows), model::benchSignature(rows));
    return kExitOk;
}

} // namespace medlarway
