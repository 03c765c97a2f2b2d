#include "ctl/arguments.h"
#include "ctl/command.h"
#include "flow_trace/flow_trace.h"

#include <fmt/format.h>
#include <fstream>

namespace medlarway
{

int runExplainFlow(const std::vector<std::string> &arguments)
{
    constexpr std::size_t kMaxFiles = 1000;
    if (arguments.size() < 2 || arguments.size() > kMaxFiles) {
        return kExitUsage;
    }
    std::vector<LogLine> lines;
    for (auto name = arguments.begin() + 1; name != arguments.end(); ++name) {
        std::ifstream file(*name);
        if (!file) {
            fmt::print(stderr, "can't read {}\n", *name);
            return kExitFailed;
        }
        for (std::string text; std::getline(file, text);) {
            if (auto line = parseLogLine(text, *name)) {
                lines.push_back(std::move(*line));
            }
        }
    }
    const auto story = traceFlow(lines, arguments.front());
    if (story.empty()) {
        fmt::print(stderr, "no log line mentions flow {}\n", arguments.front());
        return kExitFailed;
    }
    for (const auto &line : story) {
        fmt::print("{} {} {}\n", line.time, line.host, line.text);
    }
    return kExitOk;
}

} // namespace medlarway
