#include "flow_trace/flow_trace.h"

#include <algorithm>
#include <set>
#include <string>

namespace medlarway
{

namespace
{

std::string_view minuteOf(const std::string &time)
{
    constexpr std::size_t kMinuteBytes = 16; // 2026-01-27T11:51
    return std::string_view(time).substr(0, kMinuteBytes);
}

bool concernsFlow(const LogLine &line, std::string_view flow)
{
    const auto value = line.value("flow");
    return value == flow || (value.size() > flow.size() && value.starts_with(flow) && value[flow.size()] == '>');
}

// Events 600 to 699 concern the balance of requests over upstreams.
bool concernsUpstream(const LogLine &line, const std::set<std::string, std::less<>> &upstreams)
{
    return line.event / 100 == 6 && upstreams.contains(line.value("upstream"));
}

// Events below 500 concern the process, its settings, the catalogue, the platform and peers.
bool concernsHost(const LogLine &line)
{
    return line.event / 100 <= 4;
}

} // namespace

std::vector<LogLine> traceFlow(std::span<const LogLine> lines, std::string_view flow)
{
    // Step 1. Collect the flow's hosts, upstreams and time span from the lines that name it.
    std::set<std::string, std::less<>> hosts;
    std::set<std::string, std::less<>> upstreams;
    std::string first;
    std::string last;
    for (const auto &line : lines) {
        if (concernsFlow(line, flow)) {
            hosts.insert(line.host);
            upstreams.insert(std::string(line.value("upstream")));
            first = first.empty() ? line.time : std::min(first, line.time);
            last = std::max(last, line.time);
        }
    }
    upstreams.erase("");
    // Step 2. Select these lines and the lines of its upstreams and hosts within the time span.
    std::vector<LogLine> trace;
    for (const auto &line : lines) {
        const bool within = !first.empty() && minuteOf(line.time) >= minuteOf(first) && minuteOf(line.time) <= minuteOf(last);
        const bool explains = within && (concernsUpstream(line, upstreams) || (hosts.contains(line.host) && concernsHost(line)));
        if (concernsFlow(line, flow) || explains) {
            trace.push_back(line);
        }
    }
    std::stable_sort(trace.begin(), trace.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    return trace;
}

} // namespace medlarway
