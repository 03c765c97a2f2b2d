#pragma once

#include <optional>
#include <string>

namespace medlarway
{

/// Reads a settings file; nullopt if it can't be read or is longer than 1 MiB.
std::optional<std::string> readSettingsText(const std::string &path);

/// Like readSettingsText(), but throws Error(BadSettings).
std::string loadSettingsText(const std::string &path);

} // namespace medlarway
