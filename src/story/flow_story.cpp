#include "story/flow_story.h"

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

bool namesFlow(const LogLine &line, std::string_view flow)
{
    const auto named = line.value("flow");
    return named == flow || (named.size() > flow.size() && named.starts_with(flow) && named[flow.size()] == '>');
}

bool isOfUpstream(const LogLine &line, const std::set<std::string, std::less<>> &upstreams)
{
    return line.event / 100 == 6 && upstreams.contains(line.value("upstream"));
}

// What a host says of itself, its configuration and the platform.
bool isOfHost(const LogLine &line)
{
    return line.event / 100 <= 4;
}

} // namespace

std::vector<LogLine> flowStory(std::span<const LogLine> lines, std::string_view flow)
{
    // Step 1. The flow's own lines, and with them its hosts, upstreams and span.
    std::set<std::string, std::less<>> hosts;
    std::set<std::string, std::less<>> upstreams;
    std::string first;
    std::string last;
    for (const auto &line : lines) {
        if (namesFlow(line, flow)) {
            hosts.insert(line.host);
            upstreams.insert(std::string(line.value("upstream")));
            first = first.empty() ? line.time : std::min(first, line.time);
            last = std::max(last, line.time);
        }
    }
    upstreams.erase("");
    // Step 2. What explains them.
    std::vector<LogLine> story;
    for (const auto &line : lines) {
        const bool within = !first.empty() && minuteOf(line.time) >= minuteOf(first) && minuteOf(line.time) <= minuteOf(last);
        const bool explains = within && (isOfUpstream(line, upstreams) || (hosts.contains(line.host) && isOfHost(line)));
        if (namesFlow(line, flow) || explains) {
            story.push_back(line);
        }
    }
    std::stable_sort(story.begin(), story.end(), [](const LogLine &a, const LogLine &b) { return a.time < b.time; });
    return story;
}

} // namespace medlarway
