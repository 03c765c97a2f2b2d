#pragma once

#include "flow_trace/log_line.h"

#include <span>
#include <string_view>
#include <vector>

namespace medlarway
{

/// Selects the log lines of several hosts that explain the course of a flow, sorted by time: the lines that name the flow; and, from the
/// minute of the first of these to the minute of the last, the lines about its upstreams and its hosts' events about the process, settings,
/// catalogue, platform and peers. The flow is given as "CLIENT" or "CLIENT>ROUTE", each an "ADDRESS:PORT". Empty if no line names the flow.
std::vector<LogLine> traceFlow(std::span<const LogLine> lines, std::string_view flow);

} // namespace medlarway
