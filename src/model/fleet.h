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

/// What is compared: a dispatcher with options, or the omniscient queue.
struct Policy {
    std::string name;
    DispatcherOptions options;
    bool omniscient = false;
};

/// How a request ended.
enum class End : std::uint8_t {
    Open, ///< it did not: a fault of the policy
    Answered, ///< whole and in time
    Late, ///< started, and cancelled at its deadline
    Refused, ///< told not-run
    Broken, ///< may have run, no answer
    HostLost, ///< its host died
};

/// What became of one arrival.
struct Record {
    Arrival arrival;
    End end = End::Open;
    Time endedAt{};
    std::uint32_t starts = 0;
    std::uint32_t runs = 0; ///< times that an upstream began it
    std::optional<ErrorKind> error;
};

/// Counts over a run.
struct Totals {
    std::uint64_t starts = 0;
    std::uint64_t shedFull = 0; ///< starts that found all slots taken
    std::uint64_t messages = 0;
    std::uint64_t retries = 0;
    std::uint64_t startsAtDrained = 0; ///< more than 2 s after the drain
};

/// A run of one scenario under one policy.
class Fleet
{
public:
    Fleet(const Scenario &scenario, const Policy &policy, std::uint64_t seed);
    ~Fleet();

    /// Runs to the end of the scenario and until all that is open has ended.
    void run();

    const std::vector<Record> &records() const
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
        Time diedAt{};
        std::optional<Time> tickAt;
    };

    struct Attempt {
        std::uint64_t id = 0; ///< 0 where the request does not run
        std::size_t upstream = 0;
        bool atUpstream = false;
    };

    void arrive(std::size_t index);
    void deadline(std::size_t index);
    void start(const Start &start, std::size_t host);
    void deliver(std::size_t index, std::uint64_t attempt);
    void complete(std::size_t index, std::uint64_t attempt);
    void finish(std::size_t index, std::uint64_t attempt, AttemptResult result, Duration retryAfter);
    void end(std::size_t index, End how, std::optional<ErrorKind> error);
    void apply(std::size_t host, Decisions &decisions);
    void send(std::size_t from, const Outgoing<SlotMessage> &outgoing);
    void scheduleTick(std::size_t host);
    void pumpOmniscient();

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
    std::size_t liveHost(std::size_t wanted) const;
    Duration distanceTo(std::size_t host, std::size_t upstream) const;

    const Scenario &scenario_;
    Policy policy_;
    Random random_;
    EventQueue clock_;
    std::vector<FakeUpstream> upstreams_;
    std::vector<Host> hosts_;
    std::vector<Record> records_;
    std::vector<Attempt> attempts_; ///< the current one of each record
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
