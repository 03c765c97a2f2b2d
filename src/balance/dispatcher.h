#pragma once

#include "balance/options.h"
#include "base/errors.h"
#include "base/host.h"
#include "base/outbox.h"
#include "base/random.h"
#include "base/time.h"
#include "catalogue/service.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace medlarway
{

/// Names one request of one service on one host; chosen by the caller of the dispatcher, never reused.
using RequestId = std::uint64_t;

/// What the dispatcher knows of a new request.
struct Request {
    RequestId id = 0;
    std::uint64_t caller = 0; ///< hash of the caller's address, for fair shares
    std::uint64_t path = 0; ///< hash of the request's path, for learned service times
    Time deadline;
};

/// How one attempt at an upstream ended.
enum class AttemptResult : std::uint8_t {
    Answered, ///< a whole answer, 5xx other than a refusal included
    Shed, ///< the upstream refused it unrun: 503 or 429
    ConnectFailed, ///< no byte was delivered
    Lost, ///< may have run, no byte of an answer reached the caller
    Cut, ///< an answer had begun
    CallerGone, ///< the caller went away, the upstream's request was cancelled
};

/// Asks for the request to be sent to an upstream.
struct Start {
    RequestId request = 0;
    Endpoint upstream;
};

/// Ends a request without an answer of an upstream's.
struct Refusal {
    RequestId request = 0;
    ErrorKind kind = ErrorKind::QueueFull;
    Duration retryAfter{0}; ///< zero where the caller need not wait
};

/// Says that a slot of an upstream is lent, asked for or given back; between two hosts' dispatchers.
struct SlotMessage {
    std::uint8_t kind = 0; ///< see slots.h
    Endpoint upstream;
    std::uint32_t slot = 0;
    std::uint64_t number = 0; ///< names a loan
    std::uint64_t amount = 0; ///< meaning by kind
};

/// Something an operator should see in the log.
struct Notice {
    Event event = Event::UpstreamEjected;
    Endpoint upstream;
};

/// What the dispatcher wants done, in order. The caller empties it.
struct Decisions {
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
    Outbox<SlotMessage> messages;
    std::vector<Notice> notices;
};

/// Decides, for one service on one host, which request gets a slot of which upstream, what waits,
/// what is refused and what is tried again. Pure: no I/O, no clock. Not thread-safe.
class Dispatcher
{
public:
    Dispatcher(Service service, HostId self, AvailabilityZone zone, std::uint64_t seed, const DispatcherOptions &options = {});
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /// Puts a changed service in force; requests that run on a removed upstream run on.
    void setService(Service service, Time now, Decisions &decisions);

    /// Takes a new view of the hosts, over which slots are shared.
    void setView(const View &view, Time now, Decisions &decisions);

    /// A new request: started, queued or refused.
    void arrive(const Request &request, Time now, Decisions &decisions);

    /// An attempt ended. Where the request is tried again a Start with the same id follows, at once or later;
    /// where it has failed for good a Refusal follows. Answered, Cut and CallerGone end the request silently.
    void finish(RequestId request, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions);

    /// The caller of a request that waits went away.
    void cancel(RequestId request, Time now, Decisions &decisions);

    /// Time passed: expires, retries, lends. Call at nextTick() or later.
    void tick(Time now, Decisions &decisions);

    /// When tick must be called next; nullopt where nothing waits.
    std::optional<Time> nextTick() const;

    /// A message of another host's dispatcher of the same service.
    void receive(HostId from, const SlotMessage &message, Time now, Decisions &decisions);

    /// What a health or load endpoint says of an upstream. Believed only where own requests don't contradict it.
    void report(const Endpoint &upstream, bool healthy, Time now);

    /// Picks an upstream for a long-lived connection or datagram flow; nullopt where none may take one.
    /// The same hint gives the same upstream on every host while the list of upstreams is the same.
    std::optional<Endpoint> openConnection(std::uint64_t hint, Time now);

    /// A connection of openConnection was closed; failed where the upstream could not be reached.
    void closeConnection(const Endpoint &upstream, bool failed, Time now);

    /// Which upstream a request like this would get now, and why, in one line each.
    std::vector<std::string> explain(const Request &request, Time now) const;

    /// Requests that wait or run.
    std::size_t openRequests() const;

    /// The state as one JSON object, for the operators' dump.
    std::string stateAsJson(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
