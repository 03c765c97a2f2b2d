#pragma once

#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "guard/guard_message.h"
#include "guard/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace medlarway
{

/// Identifies one claim of one host: its attempt to obtain the right to run the request with a key.
using ClaimId = std::uint64_t;

/// The verdict on a claim.
struct GuardDecision {
    ClaimId claim = 0;
    GuardKey key;
    GuardVerdict verdict = GuardVerdict::Refused;
    Time runBefore; ///< Run: read the clock and send only before this time; otherwise call finishRun with NotRun
    HostId holder; ///< MayHaveRun: the host whose claim holds the key; value 0 if unknown

    friend bool operator==(const GuardDecision &, const GuardDecision &) = default;
};

/// The guard's decisions, in order. The caller empties it.
using GuardDecisions = std::vector<GuardDecision>;

/// The result of a granted run.
enum class RunResult : std::uint8_t {
    NotRun, ///< provably not delivered to an upstream: the key becomes free again
    MayHaveRun, ///< delivered, outcome unknown
    Completed, ///< ran to completion and this host has stored the response
};

/// Limits and times of a key guard.
struct GuardSettings {
    std::size_t guardsPerKey = 5; ///< fewer if fewer hosts are listed
    Duration lease = std::chrono::seconds{2}; ///< from a claim until the last moment at which its run may be sent
    Duration maxWindow = std::chrono::minutes{10}; ///< longer windows are shortened to this
    /// How long a started guard abstains from votes on keys whose grants it has not recovered; at most the key's window
    /// and a margin. 0 if it need not, as at the first start of a fleet.
    Duration startupAbstention = std::chrono::minutes{10};
    std::size_t maxKeys = 200'000; ///< grants stored by one guard; it abstains beyond that
    std::size_t maxPendingClaims = 10'000; ///< further claims of this host are refused
    Duration listGiveUp = std::chrono::hours{1}; ///< a host that still uses a list replaced this long ago is assumed to be stopped
};

/// Whether other hosts may still use a host list from before the first one that this host received.
enum class EarlierLists : std::uint8_t {
    MayBeInUse, ///< the list has changed, or it is unknown whether it has
    None, ///< the caller guarantees that no host does, for instance since the platform never published another list
};

/// Lets a protected request with an idempotency key run at most once in the whole fleet during the key's window. Each
/// host claims keys and is a guard that votes on claims. Pure: no I/O, no clock. Not thread-safe.
class KeyGuard
{
public:
    /// The seed identifies this start of the host and must differ from that of every other start.
    KeyGuard(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now);
    ~KeyGuard();
    KeyGuard(KeyGuard &&) noexcept;
    KeyGuard &operator=(KeyGuard &&) noexcept;

    /// Sets the host list that the platform publishes (not the live view). An empty list is ignored. The argument
    /// earlier is read with the first list only: if earlier lists may be in use, a restarted guard can still recover
    /// from other guards, but otherwise has to abstain for listGiveUp longer.
    void setListed(std::vector<HostId> hosts, Time now, EarlierLists earlier = EarlierLists::None);

    /// Claims a key for a request. The verdict is added to the decisions by this call or a later one, at the deadline
    /// at the latest.
    ClaimId claim(const GuardKey &key, Duration window, Time deadline, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// Reports the result of a granted run. Call it for each Run verdict, with NotRun if the request wasn't sent.
    void finishRun(ClaimId claim, const GuardKey &key, RunResult result, Time now, Outbox<GuardMessage> &outbox);

    /// Handles a message of another host's guard.
    void receive(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// Fails claims past their deadline and removes expired grants, a bounded number per call. Call at nextTick() or later.
    void tick(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// When tick must be called next; always set, since housekeeping is periodic.
    std::optional<Time> nextTick() const;

    /// This host was paused: fails all pending claims, since their votes may be outdated.
    void handlePause(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// The number of claims that wait for votes.
    std::size_t pendingClaims() const;

    /// The number of grants that this host stores as a guard.
    std::size_t grantedKeys() const;

    /// True if this guard has lost no grant that still counts, or has recovered them all, so that it votes on every key.
    bool isRecovered(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
