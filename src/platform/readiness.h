#pragma once

#include <string_view>

namespace medlarway
{

/// What the routers ask a host for; 200 means that it takes packets.
inline constexpr std::string_view kReadyPath = "/v1/ready";

} // namespace medlarway
