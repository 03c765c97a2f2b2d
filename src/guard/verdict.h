#pragma once

#include <compare>
#include <cstdint>

namespace medlarway
{

/// What the key guard says of a protected request with an idempotency key.
enum class GuardVerdict : std::uint8_t {
    Run, ///< no other run of this key is possible in its window; send it now
    Repeat, ///< the key ran before and its answer is kept here
    MayHaveRun, ///< another run can't be excluded and may have happened: answer unknown
    Refused, ///< not enough guards could be asked: answer not-run
};

/// Names a protected request in the whole fleet.
struct GuardKey {
    std::uint64_t service = 0; ///< hash of the service's name
    std::uint64_t keyHigh = 0; ///< 128-bit hash of the idempotency key
    std::uint64_t keyLow = 0;

    friend auto operator<=>(const GuardKey &, const GuardKey &) = default;
};

} // namespace medlarway
