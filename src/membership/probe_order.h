#pragma once

#include "base/host.h"
#include "base/random.h"

#include <vector>

namespace medlarway
{

/// Iterates over hosts in rounds, each host once a round in random order, so that every host is probed within
/// a bounded time.
class ProbeOrder
{
public:
    /// Inserts a new host at a random position in the rest of the current round.
    void insert(HostId host, Random &random);

    /// The next host that satisfies the predicate; HostId{} at the end of the round, then call startRound().
    template<class Predicate>
    HostId next(Predicate isEligible)
    {
        while (!remaining_.empty()) {
            const auto host = remaining_.back();
            remaining_.pop_back();
            if (isEligible(host)) {
                return host;
            }
        }
        return HostId{};
    }

    /// Starts a new round over the given hosts.
    void startRound(std::vector<HostId> hosts, Random &random);

private:
    std::vector<HostId> remaining_;
};

} // namespace medlarway
