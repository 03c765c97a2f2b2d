#pragma once

#include "base/random.h"
#include "base/time.h"

#include <cstdint>

namespace medlarway
{

/// The delay before the next attempt after a number of consecutive failures: shortest, doubled with each failure up to longest, and
/// reduced by up to a half at random so that hosts do not retry simultaneously.
Duration backoffAfter(std::uint32_t failures, Duration shortest, Duration longest, Random &random);

} // namespace medlarway
