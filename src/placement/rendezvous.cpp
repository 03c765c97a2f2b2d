#include "placement/rendezvous.h"

#include "base/hash.h"

#include <algorithm>

namespace medlarway
{

namespace
{

/// A candidate with its weight for a key. Equal weights are ordered by value.
struct WeightedCandidate {
    std::uint64_t weight;
    std::uint64_t value;
    std::size_t position; ///< in the list that was passed; 0 for hosts
};

bool isBetter(const WeightedCandidate &first, const WeightedCandidate &second)
{
    return first.weight != second.weight ? first.weight > second.weight : first.value > second.value;
}

// Reduces the candidates to the best count of them, best first. Sorts only
// these, since callers want a few hosts out of hundreds.
void keepBest(std::vector<WeightedCandidate> &weighted, std::size_t count)
{
    const auto kept = std::min(count, weighted.size());
    const auto end = weighted.begin() + static_cast<std::ptrdiff_t>(kept);
    std::partial_sort(weighted.begin(), end, weighted.end(), isBetter);
    weighted.resize(kept);
}

std::vector<HostId> hostsOf(const std::vector<WeightedCandidate> &weighted)
{
    std::vector<HostId> hosts;
    hosts.reserve(weighted.size());
    for (const auto &entry : weighted) {
        hosts.push_back(HostId{entry.value});
    }
    return hosts;
}

} // namespace

std::uint64_t rendezvousWeight(std::uint64_t key, std::uint64_t candidate)
{
    return combineHash(key, candidate);
}

bool mayOwn(const Member &member)
{
    return member.state != HostState::Leaving;
}

std::optional<HostId> ownerOf(std::uint64_t key, const View &view)
{
    std::optional<WeightedCandidate> best;
    for (const auto &member : view.members) {
        if (!mayOwn(member)) {
            continue;
        }
        const WeightedCandidate candidate{rendezvousWeight(key, member.id.value), member.id.value, 0};
        if (!best || isBetter(candidate, *best)) {
            best = candidate;
        }
    }
    return best ? std::optional(HostId{best->value}) : std::nullopt;
}

std::vector<HostId> rankHosts(std::uint64_t key, std::span<const Member> members, std::size_t count)
{
    std::vector<WeightedCandidate> weighted;
    weighted.reserve(members.size());
    for (const auto &member : members) {
        if (mayOwn(member)) {
            weighted.push_back({rendezvousWeight(key, member.id.value), member.id.value, 0});
        }
    }
    keepBest(weighted, count);
    return hostsOf(weighted);
}

std::vector<HostId> rankHosts(std::uint64_t key, std::span<const HostId> hosts, std::size_t count)
{
    std::vector<WeightedCandidate> weighted;
    weighted.reserve(hosts.size());
    for (const auto &host : hosts) {
        weighted.push_back({rendezvousWeight(key, host.value), host.value, 0});
    }
    keepBest(weighted, count);
    return hostsOf(weighted);
}

std::vector<std::size_t> rankCandidates(std::uint64_t key, std::span<const std::uint64_t> candidates, std::size_t count)
{
    std::vector<WeightedCandidate> weighted;
    weighted.reserve(candidates.size());
    for (std::size_t position = 0; position < candidates.size(); ++position) {
        weighted.push_back({rendezvousWeight(key, candidates[position]), candidates[position], position});
    }
    keepBest(weighted, count);
    std::vector<std::size_t> positions;
    positions.reserve(weighted.size());
    for (const auto &entry : weighted) {
        positions.push_back(entry.position);
    }
    return positions;
}

} // namespace medlarway
