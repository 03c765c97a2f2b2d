#pragma once

#include "steering/revision.h"

#include <optional>
#include <string_view>

namespace medlarway
{

/// Parses the output of revisionToString(); nullopt if it is malformed. Never throws.
std::optional<Revision> parseRevision(std::string_view text);

} // namespace medlarway
