#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace medlarway
{

/// Outlier detection: the health of one upstream as seen by this host's requests.
struct OutlierState {
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t ejections = 0; ///< ejections since the last success
    std::optional<Time> ejectedUntil; ///< end of the ejection; stays set until the next success
    std::optional<Time> lastSuccess;
};

/// Whether the upstream is ejected at `now`.
bool isEjected(const OutlierState &state, Time now);

/// Whether the ejection is over but no request has succeeded since. Such an upstream gets one request at a time.
bool isProbing(const OutlierState &state, Time now);

/// Records a success. Returns true if it ends an ejection.
bool recordSuccess(OutlierState &state, Time now);

/// Records a failure. Returns true if it ejects the upstream. With `mayEject` false, only an upstream being probed
/// is ejected again.
bool recordFailure(OutlierState &state, bool mayEject, Random &random, Time now);

/// Whether another upstream may be ejected while `ejected` of `listed` are: at most half may be.
bool mayEjectMore(std::size_t ejected, std::size_t listed);

} // namespace medlarway
