#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace medlarway
{

/// Learns how long the requests of each path run, in bounded memory.
class ServiceTimes
{
public:
    explicit ServiceTimes(Duration shortBound)
        : shortBound_(shortBound)
    {
    }

    void setShortBound(Duration shortBound)
    {
        shortBound_ = shortBound;
    }

    /// A request of the path ran this long, or has run this long and goes on.
    void learn(std::uint64_t path, Duration ran);

    /// How long a request of the path is expected to run; zero where nothing is known.
    Duration expected(std::uint64_t path) const;

    /// A time that most requests of the path take at least; zero where nothing is known.
    Duration least(std::uint64_t path) const;

    /// Whether requests of the path are expected to run past the short bound.
    bool isLong(std::uint64_t path) const;

    /// How long a request of the service runs, over all paths.
    Duration mean() const;

private:
    struct Estimate {
        double meanNs = 0;
        double deviationNs = 0;
        bool known = false;
    };

    static void update(Estimate &estimate, double ranNs);
    const Estimate &estimateOf(std::uint64_t path) const;

    Duration shortBound_;
    std::unordered_map<std::uint64_t, Estimate> paths_;
    Estimate all_;

    static constexpr std::size_t kMostPaths = 4096;
};

} // namespace medlarway
