#pragma once

#include "base/host.h"
#include "base/random.h"

#include <vector>

namespace medlarway
{

/// Walks over hosts in a random order, each once in a round, so that every one is probed within a bounded time.
class ProbeOrder
{
public:
    /// Puts a new host at a random place of what is left of the round.
    void insert(HostId host, Random &random);

    /// The next host that is still wanted; HostId{} where the round is over: fill() again.
    template<class Wanted>
    HostId next(Wanted wanted)
    {
        while (!remaining_.empty()) {
            const auto host = remaining_.back();
            remaining_.pop_back();
            if (wanted(host)) {
                return host;
            }
        }
        return HostId{};
    }

    /// Starts a new round.
    void fill(std::vector<HostId> hosts, Random &random);

private:
    std::vector<HostId> remaining_;
};

} // namespace medlarway
