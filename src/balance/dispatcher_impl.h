#pragma once

#include "balance/choice.h"
#include "balance/dispatcher.h"
#include "balance/peer_counts.h"
#include "balance/retry_budget.h"
#include "balance/service_times.h"
#include "balance/slots.h"
#include "balance/upstream_table.h"
#include "balance/wait_queue.h"

#include <optional>
#include <unordered_map>

namespace medlarway
{

/// A request that runs at an upstream.
struct Running {
    Request request;
    Endpoint upstream;
    std::size_t slot = 0;
    Time started;
    std::uint32_t attempts = 0; ///< that failed before this one
    bool isLong = false; ///< expected to be long, or has run past the short bound
    bool mayHaveRun = false; ///< an earlier attempt was lost
};

/// The parts of a dispatcher. dispatcher.cpp has the entry points, placing.cpp what gets a slot,
/// outcomes.cpp what follows an attempt, state.cpp what operators see.
struct Dispatcher::Impl {
    Service service;
    HostId self;
    AvailabilityZone zone;
    DispatcherOptions options;
    Random random;
    View view;
    UpstreamTable upstreams;
    WaitQueue queue;
    ServiceTimes times;
    RetryBudget budget;
    SlotShares slots;
    PeerCounts peerCounts;
    std::unordered_map<RequestId, Running> running;
    std::size_t turn = 0; ///< of the round robin
    std::optional<Time> lastShort; ///< the last arrival of a request expected to be short
    Time lastNow;

    Impl(Service newService, HostId newSelf, AvailabilityZone newZone, std::uint64_t seed, const DispatcherOptions &newOptions);

    /// Hosts that share the upstreams, this one included.
    std::size_t hosts() const;

    /// What a choice depends on now.
    ChoiceRules rules(Time now) const;

    /// Whether and how long a request must wait, and which error ends it where it can't be admitted.
    std::optional<ErrorKind> refusalFor(const Waiting &waiting, Time now) const;

    /// How long a request would wait for a slot, by the work ahead of it.
    Duration expectedWait(bool isLong, Time latestStart) const;

    /// Puts a request into the queue; where the queue is full the busiest caller loses one.
    void enqueue(const Waiting &waiting, Time now, Decisions &decisions);

    /// Starts all that can start now and refuses all that can't finish in time.
    void pump(Time now, Decisions &decisions);

    /// Starts the first request of the lane, if a slot is free for it.
    bool placeFirst(bool isLong, Time now, Decisions &decisions);

    /// Starts or lends for whoever must start first; false where no slot is free for anyone.
    bool serveFirst(Time now, Decisions &decisions);

    /// Tells peers what they need to know of this host's slots and asks for theirs.
    void exchange(Time now, Decisions &decisions);

    /// Works out again who owns which slot.
    void shareSlots(Time now, Decisions &decisions);

    /// Marks requests that have run past the short bound as long.
    void noteAges(Time now);

    /// Frees the slot of a running request.
    void release(const Running &run, Time now);

    /// Takes note of how an attempt ended, for the upstream's sake.
    void learnFrom(const Running &run, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions);

    /// Tries a failed request again, or refuses it for good.
    void retryOrRefuse(const Running &run, AttemptResult result, Time now, Decisions &decisions);

    /// Ends a request without an answer; what may have run is never said to be not-run.
    void refuse(RequestId request, bool mayHaveRun, ErrorKind kind, Decisions &decisions) const;
};

} // namespace medlarway
