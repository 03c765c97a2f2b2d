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

/// What to do with a flow's packets.
enum class FlowAction : std::uint8_t {
    Forward, ///< send to the upstream; the caller opens its socket where the flow has none yet
    Relay, ///< hand to the host, with one hop more
    Hold, ///< keep in a bounded queue until the next decision on this flow
    New, ///< pick an upstream with the hint, then call bind once; where there is none, drop. Further held packets go to onPacket again
    Drop, ///< for the reason given
};

/// A decision on a packet, or on all packets of a flow that were held.
struct FlowDecision {
    FlowKey key;
    FlowAction action = FlowAction::Drop;
    Endpoint upstream; ///< of Forward
    HostId host; ///< of Relay
    std::uint64_t hint = 0; ///< of New: for Dispatcher::openConnection, the same on every host
    ErrorKind error = ErrorKind::Internal; ///< of Drop

    friend bool operator==(const FlowDecision &, const FlowDecision &) = default;
};

/// What the router wants done, in order. The caller empties it.
struct FlowDecisions {
    std::vector<FlowDecision> packets; ///< onPacket appends exactly one; others end a Hold
    std::vector<FlowBinding> released; ///< flows that this host no longer holds; their sockets can be closed
};

/// Limits and times of a router.
struct FlowSettings {
    std::size_t flowLimit = 500'000; ///< entries of the table, flows known to be elsewhere included
    std::size_t heldLimit = 4'096; ///< flows that are looked up at a time
    Duration idleTimeout = std::chrono::minutes{5};
    Duration askTimeout = std::chrono::milliseconds{250}; ///< a host that does not answer in this time knows nothing
    Duration settleTime = std::chrono::minutes{2}; ///< how long owners of earlier generations are asked after a change
    std::size_t announcesPerSecond = 2'000; ///< flows that are announced to new owners
};

/// Decides, on one host, where each packet of a datagram flow goes, so that all of them reach the same
/// upstream whichever host gets them. Pure: no I/O, no clock. Not thread-safe.
class FlowRouter
{
public:
    FlowRouter(HostId self, const FlowSettings &settings, Time now);
    ~FlowRouter();
    FlowRouter(FlowRouter &&) noexcept;
    FlowRouter &operator=(FlowRouter &&) noexcept;

    /// Puts a view in force. Flows of hosts that are gone from it and whose upstream is known become this host's.
    void setView(const View &view, Time now);

    /// Decides on a packet from a caller (hops 0) or a peer (hops as in RelayedDatagram).
    void onPacket(const FlowKey &key, std::uint8_t hops, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// Binds a flow to the upstream that was picked for a New. FlowTableFull where the table has no room.
    std::optional<ErrorKind> bind(const FlowKey &key, const Endpoint &upstream, Time now);

    /// An answer of the upstream was sent to the caller: the flow is not idle.
    void touch(const FlowKey &key, Time now);

    /// The upstream of a flow is dead: the flow is forgotten and its next packet counts as new.
    void forget(const FlowKey &key);

    /// A message of another host's router.
    void receive(HostId from, const FlowMessage &message, Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// Time passed: ends look-ups, expires idle flows and announces flows in bounded steps. Call at nextTick() or later.
    void tick(Time now, Outbox<FlowMessage> &outbox, FlowDecisions &decisions);

    /// When tick must be called next.
    std::optional<Time> nextTick() const;

    /// A planned stop: takes no new flows and hands the bindings of its own to the other hosts.
    void beginLeave(Time now);

    /// True where every flow that this host holds is known to the host that owns it next.
    bool handedOver() const;

    /// Flows that this host sends to upstreams.
    std::size_t flowsOwned() const;

    /// Flows that this host knows to be held by another.
    std::size_t flowsElsewhere() const;

    /// Bytes of the flow table.
    std::size_t tableBytes() const;

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
