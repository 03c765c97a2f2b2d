#pragma once

#include <compare>
#include <cstdint>

namespace medlarway
{

/// The key guard's decision on a protected request with an idempotency key.
enum class GuardVerdict : std::uint8_t {
    Run, ///< no other run of this key is possible within its window: send the request now
    Repeat, ///< the key ran before and this host has stored its response
    MayHaveRun, ///< another run can't be excluded: respond with outcome unknown
    Refused, ///< too few guards voted: respond with outcome not-run
};

/// Identifies a protected request in the whole fleet.
struct GuardKey {
    std::uint64_t service = 0; ///< hash of the service's name
    std::uint64_t keyHigh = 0; ///< upper half of the 128-bit hash of the idempotency key
    std::uint64_t keyLow = 0; ///< lower half

    friend auto operator<=>(const GuardKey &, const GuardKey &) = default;
};

} // namespace medlarway
