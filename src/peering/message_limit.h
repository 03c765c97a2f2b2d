#pragma once

#include <cstddef>

namespace medlarway
{

/// Maximum size of an encoded message in bytes, where its receiver sets no other.
inline constexpr std::size_t kMaxMessageBytes = 64U << 10U;

} // namespace medlarway
