#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// What this host's own requests say of the health of one upstream.
struct OutlierState {
    std::uint32_t failuresInRow = 0;
    std::uint32_t ejections = 0; ///< since the last run of answers
    std::optional<Time> ejectedUntil; ///< set while ejected, and after it until a probe was answered
    std::optional<Time> lastAnswer;
};

/// Ejected, with the time not over yet.
bool isEjected(const OutlierState &state, Time now);

/// The ejection is over but no answer was seen since: one request at a time may try.
bool isProbing(const OutlierState &state, Time now);

/// Takes note of an answer. True where the upstream was ejected and is readmitted.
bool noteAnswer(OutlierState &state, Time now);

/// Takes note of a failure. True where the upstream is ejected by it; never where mayEject is false.
bool noteFailure(OutlierState &state, bool mayEject, Random &random, Time now);

/// Whether one more of `listed` upstreams may be ejected while `ejected` are.
bool mayEjectMore(std::size_t ejected, std::size_t listed);

} // namespace medlarway
