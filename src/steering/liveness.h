#pragma once

#include "steering/directory.h"

namespace medlarway
{

/// Minimum number of stalled flows before an upstream is suspected. One or two may be due to the client's own link.
inline constexpr std::uint32_t kStalledFlowsToSuspect = 3;

/// Minimum time without progress before an upstream is suspected. Longer than the clients' first retransmission timeout (200 ms),
/// so that every active flow had the chance to acknowledge a response.
inline constexpr Duration kSilenceToSuspect = std::chrono::milliseconds{250};

/// Delay from the suspicion to the first trial, which sends one new flow to the upstream. Doubles with each further trial.
inline constexpr Duration kTrialInterval = std::chrono::seconds{1};

/// Limit of the doublings of kTrialInterval.
inline constexpr std::uint32_t kMaxTrialDoublings = 3;

/// Records that a client received a response from the upstream. True if the upstream was suspected until now.
bool recordProgress(Liveness &liveness, Time now);

/// Records an unanswered retransmission of a flow. flowEpoch is the flow's stored epoch in which it was last counted; updated here.
/// True if the upstream became suspected by this call.
bool recordStall(Liveness &liveness, std::uint32_t &flowEpoch, Time now);

/// Marks the upstream as suspected for a reason other than its count of stalled flows. False if it was suspected already.
bool markSuspected(Liveness &liveness, Time now);

/// Minimum interval between connection probes of a suspected upstream while flows keep stalling. Probes are repeated because an upstream
/// may terminate after a successful one.
inline constexpr Duration kProbeInterval = std::chrono::milliseconds{500};

/// How long an upstream counts as unreachable after a failed probe. It may recover, which a host without flows to it would not notice;
/// after this time another flow must stall and another probe fail before any flow is reset. Below the 4 s for which a link still counts
/// as disturbed after it has recovered.
inline constexpr Duration kUnreachableDuration = std::chrono::seconds{1};

/// Whether a probe of the upstream failed within the last kUnreachableDuration, without progress since.
bool isUnreachable(const Liveness &liveness, Time now);

/// Whether a suspected upstream is due for another connection probe. If so, the probe counts as started and the caller must run it.
bool startProbeIfDue(Liveness &liveness, Time now);

/// Whether a suspected upstream is due for a trial with a new flow.
bool isTrialDue(const Liveness &liveness, Time now);

/// Records that a new flow was placed on the upstream; it counts as a trial if the upstream is suspected.
void recordNewFlow(Liveness &liveness, Time now);

} // namespace medlarway
