#include "story/flow_story.h"

#include <doctest/doctest.h>
#include <string>

using namespace medlarway;

namespace
{

// Two hosts' logs as a collector merges them, of a flow whose upstream fell dark.
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
             "h3 2026-01-27T11:51:08.520Z warning 300 PlatformUnreachable \"the platform does not answer\" detail=\"watch: no answer\"",
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
    SUBCASE("is taken apart, quotes and escapes too")
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
    SUBCASE("without a collector's words is of the host that its file is named for")
    {
        CHECK(parseLogLine("2026-01-27T11:51:07.809Z info 100 Started \"the daemon serves\"", "h7.log")->host == "h7.log");
    }
    SUBCASE("of another program is passed over")
    {
        for (const auto *text : {"", "hello", "2026-01-27T11:51:07.809Z", "2026-01-27T11:51:07.809Z info x Started \"s\"", "a b c d e f \"",
                                 "2026-01-27T11:51:07.809 info 100 Started \"the daemon serves\""}) {
            CAPTURE(text);
            CHECK_FALSE(parseLogLine(text, "f"));
        }
    }
}

TEST_CASE("the story of a flow")
{
    const auto lines = collected();

    SUBCASE("is told in the order of time, by all hosts that it came to, with what explains it")
    {
        const auto story = flowStory(lines, "100.64.0.7:40001");
        std::vector<std::string> told;
        told.reserve(story.size());
        for (const auto &line : story) {
            told.push_back(line.host + " " + line.name);
        }
        CHECK(told
              == std::vector<std::string>{"h1 CatalogueAccepted", "h1 FlowPlaced", "h2 UpstreamEjected", "h2 FlowFound", "h2 FlowReset"});
    }
    SUBCASE("is found by its whole name, too")
    {
        CHECK(flowStory(lines, "100.64.0.7:40001>198.18.0.1:443").size() == 5);
        CHECK(flowStory(lines, "100.64.0.7:40001>198.18.0.2:443").empty());
    }
    SUBCASE("is none where no line names it")
    {
        CHECK(flowStory(lines, "100.64.0.7:4000").empty());
    }
}
