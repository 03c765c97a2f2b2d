#pragma once

#include "base/errors.h"
#include "base/host.h"
#include "base/outbox.h"
#include "base/time.h"
#include "flows/flow_key.h"
#include "flows/flow_message.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace medlarway
{

/// What the caller must do with a packet of a flow.
enum class FlowAction : std::uint8_t {
    Forward, ///< send to the upstream, opening a socket if the flow has none yet
    Relay, ///< send to the host with the hop count increased by one
    Hold, ///< queue, with a bound, until the next decision on this flow
    New, ///< pick an upstream with the hint and call bind once, or drop if there is none; pass further queued packets to onPacket again
    Drop, ///< discard for the reason in error
};

/// A decision on one packet, or on all queued packets of a flow.
struct FlowDecision {
    FlowKey key;
    FlowAction action = FlowAction::Drop;
    Endpoint upstream; ///< set with Forward
    HostId host; ///< set with Relay
    std::uint64_t hint = 0; ///< set with New; argument of Dispatcher::openConnection, the same on every host
    ErrorKind error = ErrorKind::Internal; ///< set with Drop

    friend bool operator==(const FlowDecision &, const FlowDecision &) = default;
};

/// Decisions of the router, to be carried out in order. The caller clears them afterwards.
struct FlowDecisions {
    std::vector<FlowDecision> packets; ///< exactly one from each onPacket; any others are for queued packets (see Hold)
    std::vector<FlowBinding> released; ///< flows that this host no longer holds; their sockets may be closed
};

/// Limits and timeouts of a router.
struct FlowSettings {
    std::size_t flowLimit = 500'000; ///< maximum number of table entries, including flows held by other hosts
    std::size_t maxLookups = 4'096; ///< maximum number of concurrent look-ups
    Duration idleTimeout = std::chrono::minutes{5};
    Duration queryTimeout = std::chrono::milliseconds{250}; ///< after this a missing response counts as "holder unknown"
    Duration settleTime = std::chrono::minutes{2}; ///< how long after a change of owners the earlier owners are queried
    std::size_t announcesPerSecond = 2'000; ///< maximum rate of flow announcements to new owners
};

/// Decides on one host where each packet of a datagram flow goes, so that all packets of a flow reach the same
/// upstream whichever host receives them. The owner of a flow is the host that its key maps to in the current view. The
/// holder is the host that forwards its packets to the upstream; it stays the holder when the owner changes, and the new
/// owner relays packets to it. No I/O and no clock. Not thread-safe.
class FlowRouter
{
public:
    FlowRouter(HostId self, const FlowSettings &settings, Time now);
    ~FlowRouter();
    FlowRouter(FlowRouter &&) noexcept;
    FlowRouter &operator=(FlowRouter &&) noexcept;

    /// Applies a membership view. If the holder of a flow has left the view and the upstream is known here, this host
    /// becomes the holder.
    void setView(const View &view, Time now);

    /// Decides on a packet received from a caller (hops 0) or from a peer (hops as in RelayedDatagram).
    void onPacket(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// Binds a flow to the upstream that was picked after a New decision. Returns FlowTableFull if the table is full.
    std::optional<ErrorKind> bind(const FlowKey &key, const Endpoint &upstream, Time now);

    /// Marks the flow as used, after a response of the upstream was sent to the caller.
    void touch(const FlowKey &key, Time now);

    /// Removes the binding of a flow whose upstream has failed; its next packet is decided as New.
    void forget(const FlowKey &key);

    /// Handles a message from the router of another host.
    void receive(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// Times out look-ups, expires idle flows and announces flows in bounded steps. Call at nextTick() or later.
    void tick(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// The time at which tick must be called next.
    std::optional<Time> nextTick() const;

    /// Starts a planned shutdown: takes no new flows and announces the bindings of its flows to the next owners.
    void beginLeave(Time now);

    /// True if the next owner of every flow that this host holds has acknowledged it.
    bool handoverComplete() const;

    /// Number of flows that this host holds, that is, forwards to an upstream.
    std::size_t localFlows() const;

    /// Number of flows in the table that other hosts hold.
    std::size_t remoteFlows() const;

    /// Size of the flow table in bytes.
    std::size_t tableBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
