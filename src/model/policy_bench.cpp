#include "model/policy_bench.h"

#include "base/errors.h"
#include "base/hash.h"

#include <algorithm>
#include <fmt/format.h>

namespace medlarway::model
{

namespace
{

/// A policy without lanes, zone preference or early refusal. Queueing and retries are as in the others.
Policy plainPolicy(const std::string &name, Strategy strategy)
{
    return Policy{name, DispatcherOptions{.strategy = strategy, .preferOwnZone = false, .lanes = false, .earlyRefusal = false}};
}

std::string csvLine(const BenchRow &row, std::size_t seed, const Measures &m)
{
    return fmt::format("{},{},{},{:.6f},{:.6f},{:.6f},{:.6f},{:.3f},{:.6f},{:.3f},{:.3f},{:.6f},{:.3f},{}\n", row.scenario, row.policy,
                       seed, m.broken, m.imbalance, m.highestOverMean, m.inDeadline, m.goodput, m.longInDeadline, m.shortP50Ms,
                       m.shortP99Ms, m.overSubscribed, m.messagesPerHost, m.neverEnded);
}

} // namespace

std::vector<Policy> comparedPolicies()
{
    DispatcherOptions gossip;
    gossip.strategy = Strategy::Gossip;
    DispatcherOptions ownCounts;
    ownCounts.strategy = Strategy::TwoChoices;
    DispatcherOptions leases;
    leases.strategy = Strategy::Leases;
    return {plainPolicy("random", Strategy::Random),
            plainPolicy("round-robin", Strategy::RoundRobin),
            plainPolicy("least-connections", Strategy::LeastConnections),
            plainPolicy("two-choices", Strategy::TwoChoices),
            Policy{"own-counts", ownCounts},
            Policy{"gossip", gossip},
            Policy{"leases", leases},
            Policy{"omniscient", {}, true}};
}

Policy policyOf(std::string_view name)
{
    const std::vector<Policy> policies = comparedPolicies();
    const auto found = std::find_if(policies.begin(), policies.end(), [name](const Policy &policy) { return policy.name == name; });
    if (found == policies.end()) {
        throw Error{ErrorKind::BadSettings, fmt::format("no policy is named {}", name)};
    }
    return *found;
}

std::vector<BenchRow> runBench(const std::vector<Scenario> &scenarios, const std::vector<Policy> &policies, std::uint64_t seeds)
{
    std::vector<BenchRow> rows;
    for (const Scenario &scenario : scenarios) {
        for (const Policy &policy : policies) {
            BenchRow row{.scenario = scenario.name, .policy = policy.name, .bySeed = {}, .mean = {}, .worst = {}};
            for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                Simulation simulation{scenario, policy, seed};
                simulation.run();
                row.bySeed.push_back(measure(scenario, simulation));
            }
            row.mean = meanOf(row.bySeed);
            row.worst = row.bySeed.front();
            for (const Measures &measures : row.bySeed) {
                row.worst = worstOf(row.worst, measures);
            }
            row.worst.neverEnded = row.mean.neverEnded;
            rows.push_back(std::move(row));
        }
    }
    return rows;
}

std::string benchAsTable(const std::vector<BenchRow> &rows)
{
    std::string table
        = fmt::format("{:18}{:18}{:>9}{:>8}{:>8}{:>9}{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}\n", "scenario", "policy", "broken", "cov",
                      "max/avg", "in time", "worst", "goodput", "long ok", "p50 ms", "p99 ms", "worst", "over", "msg/s");
    for (const BenchRow &row : rows) {
        const Measures &m = row.mean;
        table += fmt::format(
            "{:18}{:18}{:>8.2f}%{:>8.3f}{:>8.2f}{:>8.1f}%{:>8.1f}%{:>9.1f}{:>8.1f}%{:>9.1f}{:>9.1f}{:>8.1f}{:>7.2f}%{:>8.1f}\n",
            row.scenario, row.policy, 100 * m.broken, m.imbalance, m.highestOverMean, 100 * m.inDeadline, 100 * row.worst.inDeadline,
            m.goodput, 100 * m.longInDeadline, m.shortP50Ms, m.shortP99Ms, row.worst.shortP99Ms, 100 * m.overSubscribed, m.messagesPerHost);
    }
    return table;
}

std::string benchAsCsv(const std::vector<BenchRow> &rows)
{
    std::string csv = "scenario,policy,seed,broken,imbalance,highest_over_mean,in_deadline,goodput,long_in_deadline,short_p50_ms,"
                      "short_p99_ms,over_subscribed,messages_per_host_second,never_ended\n";
    for (const BenchRow &row : rows) {
        for (std::size_t i = 0; i < row.bySeed.size(); ++i) {
            csv += csvLine(row, i + 1, row.bySeed[i]);
        }
    }
    return csv;
}

std::uint64_t benchSignature(const std::vector<BenchRow> &rows)
{
    return hashBytes(benchAsCsv(rows));
}

} // namespace medlarway::model
