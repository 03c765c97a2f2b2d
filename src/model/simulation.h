#pragma once

#include "balance/dispatcher.h"
#include "base/random.h"
#include "model/arrivals.h"
#include "model/event_queue.h"
#include "model/fake_upstream.h"
#include "model/omniscient.h"
#include "model/scenario.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway::model
{

/// A policy to compare: the dispatcher with some options, or the omniscient queue.
struct Policy {
    std::string name;
    DispatcherOptions options;
    bool omniscient = false; ///< use the OmniscientQueue and ignore `options`
};

/// The final result of a request.
enum class RequestResult : std::uint8_t {
    Pending, ///< no result yet; at the end of a run, an error of the policy
    Completed, ///< the complete response arrived by the deadline
    TimedOut, ///< cancelled at its deadline
    Refused, ///< refused with an error whose outcome is not unknown
    Unknown, ///< refused with an error whose outcome is unknown: it may have run
    HostLost, ///< its host failed
};

/// One request and what happened to it.
struct RequestRecord {
    Arrival arrival;
    RequestResult result = RequestResult::Pending;
    Time endedAt{};
    std::uint32_t starts = 0; ///< attempts
    std::uint32_t runs = 0; ///< attempts that an upstream began to run
    std::optional<ErrorKind> error; ///< set if it was refused
};

/// Counters of a run.
struct Totals {
    std::uint64_t starts = 0;
    std::uint64_t shedFull = 0; ///< starts that the upstream refused because all its slots were in use
    std::uint64_t messages = 0;
    std::uint64_t retries = 0;
    std::uint64_t startsOnDrained = 0; ///< starts at an upstream more than 2 s after it began to drain
};

/// Simulates one scenario under one policy: callers, hosts and upstreams on a virtual clock.
class Simulation
{
public:
    Simulation(const Scenario &scenario, const Policy &policy, std::uint64_t seed);
    ~Simulation();

    /// Runs to the end of the scenario, plus the time in which the last requests pass their deadlines.
    void run();

    const std::vector<RequestRecord> &records() const
    {
        return records_;
    }

    const std::vector<FakeUpstream> &upstreams() const
    {
        return upstreams_;
    }

    const Totals &totals() const
    {
        return totals_;
    }

private:
    struct Host {
        std::unique_ptr<Dispatcher> dispatcher;
        bool alive = true;
        Time failedAt{};
        std::optional<Time> tickAt; ///< when the next tick is scheduled; empty if none is
    };

    struct Attempt {
        std::uint64_t id = 0; ///< 0 if the request is not running
        std::size_t upstream = 0;
        bool atUpstream = false; ///< the upstream began to run it
    };

    void arrive(std::size_t index);
    void expire(std::size_t index);
    void start(const Start &start, std::size_t host);
    void deliverToUpstream(std::size_t index, std::uint64_t attempt);
    void completeAtUpstream(std::size_t index, std::uint64_t attempt);
    void finishAttempt(std::size_t index, std::uint64_t attempt, AttemptResult result, Duration retryAfter);
    void recordResult(std::size_t index, RequestResult result, std::optional<ErrorKind> error);
    void apply(std::size_t host, Decisions &decisions);
    void send(std::size_t from, const Outgoing<SlotMessage> &outgoing);
    void scheduleTick(std::size_t host);
    void runOmniscient();

    void scheduleFaults();
    void beginFault(const Fault &fault);
    void endFault(const Fault &fault);
    void crashUpstream(std::size_t upstream);
    void killHost(std::size_t host);
    void publishService();
    void publishViews();
    void pollReports();

    bool reachable(const AvailabilityZone &from, const AvailabilityZone &to) const;
    std::size_t upstreamIndex(const Endpoint &endpoint) const;
    std::size_t hostIndex(HostId host) const;
    std::size_t liveHost(std::size_t preferred) const;
    Duration delayTo(std::size_t host, std::size_t upstream) const;

    const Scenario &scenario_;
    Policy policy_;
    Random random_;
    EventQueue clock_;
    std::vector<FakeUpstream> upstreams_;
    std::vector<Host> hosts_;
    std::vector<RequestRecord> records_;
    std::vector<Attempt> attempts_; ///< the current attempt of each record, same indexes as records_
    std::vector<bool> draining_;
    std::vector<Time> drainedAt_;
    std::vector<bool> reportsWrong_;
    std::vector<bool> zoneCut_;
    std::uint64_t lastAttempt_ = 0;
    std::uint64_t viewNumber_ = 1;
    Totals totals_;
    OmniscientQueue omniscient_;
};

} // namespace medlarway::model
