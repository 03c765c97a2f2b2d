#pragma once

#include "steering/directory.h"

namespace medlarway
{

/// Flows that must be stalled at once before an upstream is suspected. One or two may be the client's own link.
inline constexpr std::uint32_t kStalledFlowsToSuspect = 3;

/// Silence that must have passed as well: longer than the clients' first retransmission (200 ms), so that every
/// flow in use had the chance to show an answer.
inline constexpr Duration kSilenceToSuspect = std::chrono::milliseconds{250};

/// When a suspected upstream is first tried with one new flow. Each further trial waits twice as long as the one before.
inline constexpr Duration kTrialInterval = std::chrono::seconds{1};

/// Doublings of the interval; then it stays.
inline constexpr std::uint32_t kMostTrialDoublings = 3;

/// A client showed that the upstream had answered. True where it had been suspected.
bool noteProgress(LifeSigns &life, Time now);

/// A flow sent again without an answer. countedIn is the flow's own memory of when it was counted last.
/// True where the upstream became suspected by it.
bool noteStall(LifeSigns &life, std::uint32_t &countedIn, Time now);

/// Something else makes the upstream suspected. False where it was already.
bool suspect(LifeSigns &life, Time now);

/// How often a connection to a suspected upstream is tried while flows go on stalling: one that could be connected to may
/// end a moment later.
inline constexpr Duration kProbeInterval = std::chrono::milliseconds{500};

/// How long an upstream counts as unreachable after no connection to it could be made. What was unreachable may be back, and
/// a host without flows there would not notice; after it a flow must stall and connections fail again before any is reset.
/// Below the 4 s for which a link that has healed still counts as disturbed.
inline constexpr Duration kUnreachableLife = std::chrono::seconds{1};

/// Whether the upstream counts as unreachable now.
bool isUnreachable(const LifeSigns &life, Time now);

/// Whether a connection to a suspected upstream is due to be tried again; if so, it counts as tried.
bool dueForProbe(LifeSigns &life, Time now);

/// Whether a suspected upstream is due to be tried with a new flow.
bool dueForTrial(const LifeSigns &life, Time now);

/// A new flow goes to the upstream; a trial, where it is suspected.
void noteNewFlow(LifeSigns &life, Time now);

} // namespace medlarway
