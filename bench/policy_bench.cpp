// Compares the ways of choosing an upstream on the committed scenarios; prints a table and a signature.
#include "model/policy_bench.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

ABSL_FLAG(std::uint64_t, seeds, 10, "seeds that each scenario runs with");
ABSL_FLAG(bool, csv, false, "print one line for each run instead of the table");
ABSL_FLAG(std::string, policy, "", "run this policy only");

int main(int argc, char **argv)
{
    using namespace medlarway::model;
    absl::ParseCommandLine(argc, argv);
    const std::string only = absl::GetFlag(FLAGS_policy);
    const std::vector<Policy> policies = only.empty() ? comparedPolicies() : std::vector{policyOf(only)};
    const std::vector<BenchRow> rows = runBench(committedScenarios(), policies, absl::GetFlag(FLAGS_seeds));
    if (absl::GetFlag(FLAGS_csv)) {
        fmt::print("{}", benchAsCsv(rows));
        return 0;
    }
    fmt::print("{}Bench: {}\n", benchAsTable(rows), benchSignature(rows));
    return 0;
}
