#include "ctl/command.h"

#include <array>

namespace medlarway
{

namespace
{

constexpr std::array kCommands{
    Command{"check-settings", "FILE", "reads a settings file and lists every fault in it", runCheckSettings},
    Command{"check-catalogue", "FILE", "reads a catalogue file and lists every fault in it", runCheckCatalogue},
    Command{"flows", "ADDRESS", "lists the flows that an entry host remembers", runFlows},
    Command{"state", "ADDRESS [--json]", "shows what a running daemon does and knows", runState},
    Command{"counters", "ADDRESS", "shows a running daemon's counters", runCounters},
    Command{"explain", "ADDRESS --service NAME --path PATH --caller IP", "says which upstream a request would get, and why", runExplain},
    Command{"explain-flow", "CLIENT-ADDRESS:PORT LOGFILE...", "tells what became of a flow, from collected logs of entry hosts",
            runExplainFlow},
    Command{"explain-placement", "CONTROL-ADDRESS FLOW-ADDRESS [--json]", "says where an entry host would send a new flow, and why",
            runExplainPlacement},
    Command{"bench", "[--seeds N] [--csv]", "compares the ways of choosing an upstream on the committed scenarios", runBench},
    Command{"version", "", "prints the version", runVersion},
};

} // namespace

std::span<const Command> allCommands()
{
    return kCommands;
}

} // namespace medlarway
