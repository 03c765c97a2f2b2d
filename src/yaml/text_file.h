#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace medlarway
{

/// Reads a whole file; nullopt if it can't be read or is longer than maxBytes.
std::optional<std::string> readTextFile(const std::string &path, std::uint64_t maxBytes);

} // namespace medlarway
