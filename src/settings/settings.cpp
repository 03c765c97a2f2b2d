#include "settings/settings.h"

namespace medlarway
{

// The log level, the drain timeouts and the byte budgets for peers can change in a running process. Sockets, threads
// and tables are created once at the start.
std::vector<std::string> changesThatNeedRestart(const Settings &running, const Settings &wanted)
{
    std::vector<std::string> names;
    const auto compare = [&names](bool same, const char *name) {
        if (!same) {
            names.emplace_back(name);
        }
    };
    const auto peersWithoutBudgets = [](const Settings &settings) {
        auto peers = settings.peers;
        if (peers) {
            peers->bytesPerSecond = 0;
            peers->requestBytesPerSecond = 0;
        }
        return peers;
    };
    compare(running.address == wanted.address, "host.address");
    compare(running.zone == wanted.zone, "host.zone");
    compare(running.dataThreads == wanted.dataThreads, "data-threads");
    compare(running.operatorListen == wanted.operatorListen, "operator");
    compare(peersWithoutBudgets(running) == peersWithoutBudgets(wanted), "peers");
    compare(running.platform == wanted.platform, "platform");
    compare(running.hosts == wanted.hosts, "hosts");
    compare(running.guard == wanted.guard, "guard");
    compare(running.limits == wanted.limits, "limits");
    return names;
}

} // namespace medlarway
