#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway::soak
{

/// How large a soak is, and how long its faults go on.
struct SoakOptions {
    std::uint64_t seed = 1;
    int hosts = 6;
    int zones = 3;
    int upstreamsOfOne = 6; ///< of the service that long flows use
    int upstreamsOfTwo = 3;
    int callers = 12;
    Duration length = std::chrono::seconds{12};
};

/// What is done to the system from outside.
enum class FaultKind : std::uint8_t {
    // Planned work.
    Stop, ///< SIGTERM, then a start
    Reload, ///< SIGHUP
    Change, ///< a new configuration: a route is added or removed
    Replace, ///< a new upstream starts, an old one drains and leaves
    // Failures.
    Kill, ///< SIGKILL, then a start
    KillAll, ///< every host at once
    Pause, ///< SIGSTOP, later SIGCONT
    Crash, ///< an upstream ends; another starts at a new address
    Reuse, ///< an upstream ends; its address goes to one of the other service
    Restart, ///< an upstream ends and starts again under its id
    StoreBusy, ///< the store refuses every call
    StoreSilent, ///< the store answers nothing
    StoreResets, ///< the store resets every connection
    StoreSlow,
    HistoryGone, ///< the store forgets its history
    StoreCut, ///< one host's path to the store is silent
    StoreOneWay, ///< the store hears one host, which hears nothing
    StoreBroken, ///< one host's connections to the store are reset, new ones work
    StoreFrozen, ///< one host's connections to the store fall silent for good, new ones work
    ZoneCut, ///< packets from one zone's hosts to the other zones' upstreams are lost
    Loss, ///< one packet in five to upstreams is lost
    Count,
};

/// One fault of a soak.
struct Fault {
    Duration at{};
    FaultKind kind = FaultKind::Stop;
    std::uint64_t draw = 0; ///< chooses what it is done to
    Duration lasts{};

    friend bool operator==(const Fault &, const Fault &) = default;
};

/// Draws the faults of a seed, in the order of their times: some in series, some at once.
std::vector<Fault> drawFaults(const SoakOptions &options);

/// For the log of a soak.
std::string faultName(FaultKind kind);

} // namespace medlarway::soak
