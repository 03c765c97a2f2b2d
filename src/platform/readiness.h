#pragma once

#include <string_view>

namespace medlarway
{

/// Path of the readiness check by the platform's routers. Status 200: the host accepts packets.
inline constexpr std::string_view kReadyPath = "/v1/ready";

} // namespace medlarway
