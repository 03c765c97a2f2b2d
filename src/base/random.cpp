#include "base/random.h"

#include "base/hash.h"

namespace medlarway
{

Random::result_type Random::operator()()
{
    state_ += kGoldenGamma;
    return mixBits(state_);
}

// Multiplies into the high half of a 128-bit product, which has no modulo bias worth
// the cost of rejecting: the error is below bound / 2^64.
std::uint64_t Random::below(std::uint64_t bound)
{
    __extension__ using Wide = unsigned __int128;
    return static_cast<std::uint64_t>((static_cast<Wide>((*this)()) * bound) >> 64U);
}

double Random::unit()
{
    constexpr double kScale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>((*this)() >> 11U) * kScale;
}

} // namespace medlarway
