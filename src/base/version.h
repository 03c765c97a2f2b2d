#pragma once

#include <string_view>

namespace medlarway
{

/// The version that both programs print.
inline constexpr std::string_view kVersion = "0.1.0";

} // namespace medlarway
