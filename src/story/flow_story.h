#pragma once

#include "story/log_line.h"

#include <span>
#include <string_view>
#include <vector>

namespace medlarway
{

/// The lines of several hosts' logs that tell what became of a flow, in the order of their times: those that name it, those of
/// its upstreams, and what its hosts said of themselves and of the platform, all from the minute of its first line to that of its last.
/// The flow is named by its client, "ADDRESS:PORT", or whole, "CLIENT>ROUTE". Empty where no line names it.
std::vector<LogLine> flowStory(std::span<const LogLine> lines, std::string_view flow);

} // namespace medlarway
