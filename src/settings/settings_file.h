#pragma once

#include "settings/settings.h"
#include "yaml/fault.h"

#include <string>
#include <string_view>

namespace medlarway
{

/// Reads settings from YAML text; lists every fault at once. Never throws.
Parsed<Settings> parseSettings(std::string_view text);

/// Reads a settings file. Paths in it are taken from the file's own folder.
/// Throws Error(BadSettings) with every fault, one a line, each with file, line and column.
Settings loadSettings(const std::string &path);

} // namespace medlarway
