#pragma once

#include "base/time.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace medlarway
{

/// A new flow that waits for room.
struct WaitingFlow {
    std::uint32_t priority = 0; ///< of its route; 0 is the highest
    bool late = false; ///< it can't be answered within the target latency any more
    Time releaseBy; ///< end of its wait, which is a fixed part of the time that is left for it; see longestWait()
    Duration processing{}; ///< expected processing time
    std::uint64_t id = 0; ///< chosen by the caller, unique
    std::uint32_t route = 0; ///< index of its route, for the caller
    Time since; ///< when the wait began
    Time firstSyn{}; ///< when its caller first asked

    /// Most urgent first: by priority, then those that can be on time, then by time left, then by processing time. As the order is that of
    /// the ends of the waits, every flow comes before newer ones in time, however long the others' target latencies are.
    friend auto operator<=>(const WaitingFlow &, const WaitingFlow &)
        = default; // NOLINT(modernize-use-nullptr): the check takes <=> for a 0
};

/// Flows that wait for room, most urgent first. Not thread-safe.
class OverloadQueue
{
public:
    /// At 64 bytes an entry and its place in the caller's tables, less than 64 KB.
    static constexpr std::size_t kMaxWaiting = 512;

    void push(const WaitingFlow &flow);

    /// Removes and returns a flow; nullopt if it does not wait.
    std::optional<WaitingFlow> remove(std::uint64_t id);

    /// The waiting flows, most urgent first.
    std::span<const WaitingFlow> flows() const
    {
        return flows_;
    }

    std::size_t size() const
    {
        return flows_.size();
    }

private:
    std::vector<WaitingFlow> flows_;
};

} // namespace medlarway
