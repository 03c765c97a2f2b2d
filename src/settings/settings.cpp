#include "settings/settings.h"

namespace medlarway
{

// Log level, graces and the peers' budget change in a running process; sockets, threads
// and tables are made once.
std::vector<std::string> changesThatNeedRestart(const Settings &running, const Settings &wanted)
{
    std::vector<std::string> names;
    const auto compare = [&names](bool same, const char *name) {
        if (!same) {
            names.emplace_back(name);
        }
    };
    const auto peersWithoutBudget = [](const Settings &settings) {
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
    compare(peersWithoutBudget(running) == peersWithoutBudget(wanted), "peers");
    compare(running.platform == wanted.platform, "platform");
    compare(running.hosts == wanted.hosts, "hosts");
    compare(running.guard == wanted.guard, "guard");
    compare(running.limits == wanted.limits, "limits");
    return names;
}

} // namespace medlarway
