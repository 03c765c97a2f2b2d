#include "flow_trace/flow_trace.h"

#include <doctest/doctest.h>
#include <string>

using namespace medlarway;

namespace
{

// Logs of three hosts, merged by a log collector. The upstream of the flow 100.64.0.7:40001 stops responding.
std::vector<LogLine> collected()
{
    std::vector<LogLine> lines;
    for (const std::string text : {
             "h1 2026-01-27T11:51:07.100Z info 210 CatalogueAccepted \"a catalogue change is in force\" version=12",
             "h1 2026-01-27T11:51:08.000Z info 510 FlowPlaced \"a flow was placed\" flow=100.64.0.7:40001>198.18.0.1:443 upstream=i-a1",
             "h1 2026-01-27T11:51:08.010Z info 510 FlowPlaced \"a flow was placed\" flow=100.64.0.7:400>198.18.0.1:443 upstream=i-b2",
             "h2 2026-01-27T11:51:08.600Z info 511 FlowFound \"found by its token\" flow=100.64.0.7:40001>198.18.0.1:443 upstream=i-a1",
             "h2 2026-01-27T11:51:08.500Z warning 600 UpstreamEjected \"an upstream was ejected\" upstream=i-a1 stalled=3",
             "h2 2026-01-27T11:51:08.510Z warning 600 UpstreamEjected \"an upstream was ejected\" upstream=i-b2 stalled=3",
             "h3 2026-01-27T11:51:08.520Z warning 300 PlatformUnreachable \"the platform does not answer\" detail=\"watch: no response\"",
             "h2 2026-01-27T11:51:08.900Z info 512 FlowReset \"a flow was reset\" flow=100.64.0.7:40001>198.18.0.1:443 upstream=i-a1",
             "h1 2026-01-27T11:59:00.000Z info 101 StopRequested \"a planned stop begins\" signal=15",
         }) {
        lines.push_back(parseLogLine(text, "file").value());
    }
    return lines;
}

} // namespace

TEST_CASE("a line of a log")
{
    SUBCASE("is parsed, including quotes and escapes")
    {
        const auto line = parseLogLine(
            R"(  40.8 edge-1 2026-01-27T11:51:07.809Z info 603 UpstreamGone "it \"went\" away" upstream=i-1 detail="a b=c")", "f");
        REQUIRE(line);
        CHECK(line->host == "edge-1");
        CHECK(line->event == 603);
        CHECK(line->name == "UpstreamGone");
        CHECK(line->value("upstream") == "i-1");
        CHECK(line->value("detail") == "a b=c");
        CHECK(line->value("none").empty());
    }
    SUBCASE("without a collector's prefix is attributed to the host that the file is named after")
    {
        CHECK(parseLogLine("2026-01-27T11:51:07.809Z info 100 Started \"the daemon serves\"", "h7.log")->host == "h7.log");
    }
    SUBCASE("of another program is ignored")
    {
        for (const auto *text : {"", "hello", "2026-01-27T11:51:07.809Z", "2026-01-27T11:51:07.809Z info x Started \"s\"", "a b c d e f \"",
                                 "2026-01-27T11:51:07.809 info 100 Started \"the daemon serves\""}) {
            CAPTURE(text);
            CHECK_FALSE(parseLogLine(text, "f"));
        }
    }
}

TEST_CASE("the trace of a flow")
{
    const auto lines = collected();

    SUBCASE("contains the lines of all its hosts in chronological order, with the events of its upstream and hosts")
    {
        const auto trace = traceFlow(lines, "100.64.0.7:40001");
        std::vector<std::string> names;
        names.reserve(trace.size());
        for (const auto &line : trace) {
            names.push_back(line.host + " " + line.name);
        }
        CHECK(names
              == std::vector<std::string>{"h1 CatalogueAccepted", "h1 FlowPlaced", "h2 UpstreamEjected", "h2 FlowFound", "h2 FlowReset"});
    }
    SUBCASE("is also found by client and route")
    {
        CHECK(traceFlow(lines, "100.64.0.7:40001>198.18.0.1:443").size() == 5);
        CHECK(traceFlow(lines, "100.64.0.7:40001>198.18.0.2:443").empty());
    }
    SUBCASE("is empty if no line names the flow")
    {
        CHECK(traceFlow(lines, "100.64.0.7:4000").empty());
    }
}
