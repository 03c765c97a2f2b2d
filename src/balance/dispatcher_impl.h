#pragma once

#include "balance/choice.h"
#include "balance/dispatcher.h"
#include "balance/load_gossip.h"
#include "balance/retry_budget.h"
#include "balance/service_times.h"
#include "balance/slot_leases.h"
#include "balance/upstream_table.h"
#include "balance/wait_queue.h"

#include <optional>
#include <unordered_map>

namespace medlarway
{

/// A request that is running at an upstream.
struct RunningRequest {
    Request request;
    Endpoint upstream;
    std::size_t slot = 0;
    Time started;
    std::uint32_t attempts = 0; ///< failed attempts before this one
    bool isLong = false; ///< predicted to be long, or already running for longer than the short bound
    bool mayHaveRun = false; ///< an earlier attempt ended as AttemptResult::Lost
};

/// The implementation of Dispatcher: entry points in dispatcher.cpp, admission and scheduling in scheduling.cpp,
/// handling of attempt results in outcomes.cpp, output for operators in state.cpp.
struct Dispatcher::Impl {
    Service service;
    HostId self;
    AvailabilityZone zone;
    DispatcherOptions options;
    Random random;
    View view;
    UpstreamTable upstreams;
    WaitQueue queue;
    ServiceTimes serviceTimes;
    RetryBudget retryBudget;
    SlotLeases leases;
    LoadGossip gossip;
    std::unordered_map<RequestId, RunningRequest> running;
    std::size_t roundRobinNext = 0; ///< index of the upstream that Strategy::RoundRobin tries next
    std::optional<Time> lastShortArrival; ///< when a request predicted to be short last arrived
    Time lastUpdate; ///< time of the last call of schedule()

    Impl(Service newService, HostId newSelf, AvailabilityZone newZone, std::uint64_t seed, const DispatcherOptions &newOptions);

    /// The number of hosts that share the upstreams, including this one.
    std::size_t hosts() const;

    /// The context for choosing an upstream at `now`.
    ChoiceContext choiceContext(Time now) const;

    /// The error to refuse the request with, or nullopt if it may wait for a slot.
    std::optional<ErrorKind> admissionError(const QueuedRequest &waiting, Time now) const;

    /// Estimates how long a request would wait for a slot behind the requests ahead of it in its lane.
    Duration expectedWait(bool isLong, Time latestStart) const;

    /// Queues the request or refuses it. If the queue is full, either this request or one of the caller with the
    /// most waiting requests is refused.
    void enqueue(const QueuedRequest &waiting, Time now, Decisions &decisions);

    /// Starts every request that can start at `now`, refuses those that can no longer meet their deadline, and sends
    /// the messages due to peers.
    void schedule(Time now, Decisions &decisions);

    /// Starts the most urgent request of the lane; returns false if there is none or no slot is free for it.
    bool startFirst(bool isLong, Time now, Decisions &decisions);

    /// Gives one slot to the most urgent request that one is free for, whether it waits here or at a peer.
    /// Returns false if no slot could be given.
    bool serveMostUrgent(Time now, Decisions &decisions);

    /// Sends load reports, lease messages and borrow requests to peers, as the strategy requires.
    void sendPeerMessages(Time now, Decisions &decisions);

    /// Recomputes which host owns which slot.
    void assignSlots(Time now, Decisions &decisions);

    /// Marks requests as long that have been running for longer than the short bound.
    void markLongRunning(Time now);

    /// Frees the slot of a request whose attempt ended.
    void releaseSlot(const RunningRequest &run, Time now);

    /// Updates the service times and the upstream's state with the result of an attempt.
    void recordResult(const RunningRequest &run, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions);

    /// Queues a failed request for another attempt, or refuses it. Does nothing for a result that finishes the request.
    void retryOrRefuse(const RunningRequest &run, AttemptResult result, Time now, Decisions &decisions);

    /// Refuses a request with the error; replaced by UpstreamLost if the error would state that the request did not run
    /// although it may have.
    void refuse(RequestId request, bool mayHaveRun, ErrorKind kind, Decisions &decisions) const;
};

} // namespace medlarway
