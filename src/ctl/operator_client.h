#pragma once

#include <optional>
#include <string>

namespace medlarway
{

/// Fetches a page from the operator interface at "IP:PORT". Prints the reason to standard error and returns nullopt if
/// that fails or the status is not 200.
std::optional<std::string> fetchPage(const std::string &address, const std::string &target);

} // namespace medlarway
