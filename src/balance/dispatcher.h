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

/// Identifies one request of one service on one host. Assigned by the user of the dispatcher and never reused.
using RequestId = std::uint64_t;

/// A new request, as far as the dispatcher needs to know it.
struct Request {
    RequestId id = 0;
    std::uint64_t caller = 0; ///< hash of the caller's address, used to share the queue fairly
    std::uint64_t path = 0; ///< hash of the request's path, used to predict its service time
    Time deadline;
};

/// The result of one attempt at an upstream.
enum class AttemptResult : std::uint8_t {
    Completed, ///< the upstream sent a complete response; includes every 5xx status except a refusal
    Shed, ///< the upstream refused the request with 503 or 429 without running it
    ConnectFailed, ///< no byte of the request was delivered
    Lost, ///< the request may have run, but no byte of a response reached the caller
    Truncated, ///< the response broke off after part of it reached the caller
    CallerDisconnected, ///< the caller disconnected and the request to the upstream was cancelled
};

/// Instructs the user of the dispatcher to send a request to an upstream.
struct Start {
    RequestId request = 0;
    Endpoint upstream;
};

/// Ends a request with an error instead of a response from an upstream.
struct Refusal {
    RequestId request = 0;
    ErrorKind kind = ErrorKind::QueueFull;
    Duration retryAfter{0}; ///< value for the caller's Retry-After header; 0 if the caller need not wait
};

/// A message about upstream slots between the dispatchers of one service on two hosts.
struct SlotMessage {
    std::uint8_t kind = 0; ///< a SlotMessageKind (slot_leases.h), which defines the meaning of the other fields
    Endpoint upstream;
    std::uint32_t slot = 0;
    std::uint64_t number = 0;
    std::uint64_t amount = 0;
};

/// An event for the log.
struct Notice {
    Event event = Event::UpstreamEjected;
    Endpoint upstream;
};

/// The actions that the dispatcher requests, each list in order. The dispatcher appends; its user carries them out
/// and empties the lists.
struct Decisions {
    std::vector<Start> starts;
    std::vector<Refusal> refusals;
    Outbox<SlotMessage> messages;
    std::vector<Notice> notices;
};

/// Schedules the requests of one service on one host: starts each at an upstream, queues it, retries it or refuses
/// it. Performs no I/O and reads no clock. Not thread-safe.
class Dispatcher
{
public:
    Dispatcher(Service service, HostId self, AvailabilityZone zone, std::uint64_t seed, const DispatcherOptions &options = {});
    ~Dispatcher();
    Dispatcher(Dispatcher &&) noexcept;
    Dispatcher &operator=(Dispatcher &&) noexcept;

    /// Applies a changed service definition. Requests already running at a removed upstream continue.
    void setService(Service service, Time now, Decisions &decisions);

    /// Applies a new view and redistributes the upstreams' slots among its hosts.
    void setView(const View &view, Time now, Decisions &decisions);

    /// Adds a new request, which is started, queued or refused.
    void submit(const Request &request, Time now, Decisions &decisions);

    /// Reports the result of an attempt and frees its slot. `retryAfter` is the upstream's Retry-After value, 0 if it
    /// sent none. After Completed, Truncated or CallerDisconnected the request is finished and no decision follows
    /// for it. After any other result, either a Start with the same id follows, now or later, or a Refusal.
    /// Requests that are not running are ignored.
    void finish(RequestId request, AttemptResult result, Duration retryAfter, Time now, Decisions &decisions);

    /// Removes a waiting request because its caller disconnected. No decision follows for it.
    void cancel(RequestId request, Time now, Decisions &decisions);

    /// Performs the work that is due at `now`: expires and retries requests, lends and returns slots.
    /// Call at nextTick() or later.
    void tick(Time now, Decisions &decisions);

    /// When tick must be called next; nullopt if nothing is pending.
    std::optional<Time> nextTick() const;

    /// Handles a message from the dispatcher of the same service on another host.
    void receive(HostId from, const SlotMessage &message, Time now, Decisions &decisions);

    /// Records the result of a health check. A negative one is ignored while recent requests of this host succeed
    /// at the upstream.
    void reportHealth(const Endpoint &upstream, bool healthy, Time now);

    /// Picks an upstream for a long-lived connection or datagram flow and counts the connection; nullopt if no
    /// upstream accepts one. Hosts with the same list of upstreams pick the same one for the same hint, unless
    /// it is draining, ejected or at its connection limit.
    std::optional<Endpoint> openConnection(std::uint64_t hint, Time now);

    /// Reports that a connection picked by openConnection is closed. `failed` means that the upstream could not
    /// be reached.
    void closeConnection(const Endpoint &upstream, bool failed, Time now);

    /// Explains, one line per fact, which upstream such a request would get now and the state of each upstream.
    std::vector<std::string> explain(const Request &request, Time now) const;

    /// The number of requests that are waiting or running.
    std::size_t openRequests() const;

    /// The state as one JSON object, shown to operators.
    std::string stateAsJson(Time now) const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
