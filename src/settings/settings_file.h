#pragma once

#include "settings/settings.h"
#include "yaml/fault.h"

#include <string>
#include <string_view>

namespace medlarway
{

/// Parses settings from YAML text. Reports all errors, not only the first. Never throws.
Parsed<Settings> parseSettings(std::string_view text);

/// Returns the settings that a file contains. Relative paths in them are resolved against the folder of the file.
/// Throws Error(BadSettings) with all errors, one per line, each with file, line and column.
Settings settingsFrom(std::string_view text, const std::string &path);

} // namespace medlarway
