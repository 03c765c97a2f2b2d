#pragma once

#include <optional>
#include <string>

namespace medlarway
{

/// Asks a daemon's operator interface, at "IP:PORT", for a page. Where it can't be had it says why on
/// standard error and gives nullopt.
std::optional<std::string> askOperator(const std::string &address, const std::string &target);

} // namespace medlarway
