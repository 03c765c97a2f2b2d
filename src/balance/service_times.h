#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace medlarway
{

/// Estimates the service time of requests by path. Memory is bounded.
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

    /// Adds the run time of a request. For a cancelled request this is the time it ran until then.
    void addSample(std::uint64_t path, Duration runTime);

    /// The mean run time of the path's requests; for an unknown path the mean over all paths, 0 without samples.
    Duration expected(std::uint64_t path) const;

    /// The mean run time minus the mean deviation, not below 0: a time that most requests exceed. For an unknown path
    /// the value over all paths, 0 without samples.
    Duration lowEstimate(std::uint64_t path) const;

    /// Whether the mean run time of the path's requests exceeds the short bound; false for an unknown path.
    bool isLong(std::uint64_t path) const;

    /// The mean run time over all paths; 0 without samples.
    Duration mean() const;

private:
    struct Estimate {
        double meanNs = 0;
        double deviationNs = 0;
        bool hasSamples = false;
    };

    static void update(Estimate &estimate, double runTimeNs);
    const Estimate &estimateOf(std::uint64_t path) const;

    Duration shortBound_;
    std::unordered_map<std::uint64_t, Estimate> paths_;
    Estimate overall_;

    static constexpr std::size_t kMaxPaths = 4096;
};

} // namespace medlarway
