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

/// Names one ask of one host.
using AskId = std::uint64_t;

/// The verdict on an ask.
struct GuardDecision {
    AskId ask = 0;
    GuardKey key;
    GuardVerdict verdict = GuardVerdict::Refused;
    Time runBefore; ///< of Run: read the clock and send only before this moment; after it call finished with NotRun
    HostId holder; ///< of MayHaveRun: the host whose run has the key, where known (value not 0)

    friend bool operator==(const GuardDecision &, const GuardDecision &) = default;
};

/// What the guard has decided, in order. The caller empties it.
using GuardDecisions = std::vector<GuardDecision>;

/// How a run that was granted ended.
enum class RunResult : std::uint8_t {
    NotRun, ///< provably not delivered to an upstream: the key is free again
    MayHaveRun, ///< delivered, the outcome is not known
    Ended, ///< ran to its end and the answer is kept by this host
};

/// Limits and times of a key guard.
struct GuardSettings {
    std::size_t guardCount = 5; ///< guards of a key; fewer where fewer hosts are listed
    Duration lease = std::chrono::seconds{2}; ///< from an ask until the last moment at which its Run may be used
    Duration longestWindow = std::chrono::minutes{10}; ///< a longer window is cut to this
    Duration silence = std::chrono::minutes{10}; ///< how long a guard with an empty memory gives no vote of its own
    std::size_t keyLimit = 200'000; ///< keys that one guard keeps; beyond it gives no vote
    std::size_t askLimit = 10'000; ///< asks that wait on one host
    Duration listGiveUp = std::chrono::hours{1}; ///< a host that has left the list for this long is taken to be stopped
};

/// Whether other hosts may still use a list of hosts from before this host's first one.
enum class EarlierLists : std::uint8_t {
    MayBeInUse, ///< the list has changed, or nobody can tell
    None, ///< the caller vouches that nobody does, as where the platform never published another list
};

/// Lets a protected request with an idempotency key run at most once in the whole fleet during the key's
/// window. Each host is asker and guard. Pure: no I/O, no clock. Not thread-safe.
class KeyGuard
{
public:
    /// The seed names this start of the host and must differ from that of any other start.
    KeyGuard(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now);
    ~KeyGuard();
    KeyGuard(KeyGuard &&) noexcept;
    KeyGuard &operator=(KeyGuard &&) noexcept;

    /// Takes the list of hosts that the platform publishes (not the live view). An empty list is ignored.
    /// What is said of earlier lists counts with the first list: where they may be in use, a guard with an empty
    /// memory trusts what other guards tell it, and time alone only after listGiveUp more.
    void setListed(std::vector<HostId> hosts, Time now, EarlierLists earlier = EarlierLists::None);

    /// Asks whether a request may run. The verdict comes in the decisions, now or later, at the deadline at the latest.
    AskId ask(const GuardKey &key, Duration window, Time deadline, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// A run that was granted ended. Call it for each Run, where it wasn't sent with NotRun.
    void finished(AskId ask, const GuardKey &key, RunResult result, Time now, Outbox<GuardMessage> &outbox);

    /// A message of another host's guard.
    void receive(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// Time passed: ends asks that are past their time and forgets keys in bounded steps. Call at nextTick() or later.
    void tick(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// When tick must be called next; nullopt where nothing waits.
    std::optional<Time> nextTick() const;

    /// This host was paused: asks that wait are refused, since their votes may be old.
    void wokeLate(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    /// Asks that wait for votes.
    std::size_t asksOpen() const;

    /// Keys that this host keeps as a guard.
    std::size_t keysKept() const;

    /// True where this host's memory reaches back over the longest window, so that it votes on every key.
    bool hasFullMemory(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
