#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// The contents of a file; nullopt where it can't be read or is longer than allowed.
std::optional<std::string> readTextFile(const std::string &path, std::uint64_t longestBytes);

} // namespace medlarway
