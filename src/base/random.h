#pragma once

#include <cstdint>
#include <limits>

namespace medlarway
{

/// A small seeded generator (splitmix64) with the same sequence on every machine and library.
/// Meets the standard's uniform random bit generator requirements.
class Random
{
public:
    using result_type = std::uint64_t;

    explicit Random(std::uint64_t seed)
        : state_(seed)
    {
    }

    static constexpr result_type min()
    {
        return 0;
    }

    static constexpr result_type max()
    {
        return std::numeric_limits<result_type>::max();
    }

    result_type operator()();

    /// A number in [0, bound), 0 where bound is 0.
    std::uint64_t below(std::uint64_t bound);

    /// A number in [0, 1).
    double unit();

private:
    std::uint64_t state_;
};

} // namespace medlarway
