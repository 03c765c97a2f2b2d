#pragma once

#include "base/host.h"
#include "base/host_list.h"
#include "base/outbox.h"
#include "base/time.h"
#include "membership/message.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <vector>

namespace medlarway
{

/// Settings of a membership core. Durations are real time, not processor time.
struct MembershipOptions {
    HostId self;
    AvailabilityZone zone;
    std::uint64_t incarnation = 1; ///< initial value; must be higher after a restart, e.g. the wall clock in milliseconds
    std::uint64_t seed = 1; ///< of the random generator
    Duration probeInterval = std::chrono::milliseconds{500}; ///< one member is probed in each interval
    Duration ackTimeout = std::chrono::milliseconds{150}; ///< after this, the probe is repeated directly and indirectly
    Duration maxTickDelay = std::chrono::seconds{1}; ///< a tick that is later than this means that the host was paused
    Duration confirmTimeout = std::chrono::seconds{3}; ///< how long the view stays unconfirmed if no peer confirms it
    Duration syncInterval = std::chrono::seconds{5}; ///< between anti-entropy requests, which repair what gossip missed
    std::uint32_t indirectProbes = 3; ///< number of peers that are asked for an indirect probe
    std::uint32_t updatesPerMessage = 6; ///< updates piggybacked on each message; up to four times as many after a mass failure
    std::uint32_t suspicionFactor = 2; ///< the suspicion timeout is this times log2(hosts) probe intervals
    std::uint32_t retransmitFactor = 2; ///< an update is sent this times log2(hosts) times
};

/// The type of a membership event.
enum class MembershipEventKind : std::uint8_t {
    Joined, ///< seen for the first time, or again after a removal
    Suspected, ///< did not acknowledge its probes
    Removed, ///< did not refute the suspicion in time
    Leaving, ///< drains before a planned shutdown, as announced by itself or by the platform's list
    Left, ///< completed a planned shutdown
    ZoneLost, ///< no host of the zone responds, and at least one was removed
    ZoneReturned, ///< a host of a lost zone responds again
    WokeLate, ///< this host itself was paused
};

/// A change of the view or of this host, for logs and for the cores that depend on membership.
struct MembershipEvent {
    MembershipEventKind kind = MembershipEventKind::Joined;
    HostId host; ///< 0 for ZoneLost and ZoneReturned
    AvailabilityZone zone;

    friend bool operator==(const MembershipEvent &, const MembershipEvent &) = default;
};

/// SWIM failure detector and membership: direct probes, indirect probes, and suspicions that a host may refute with a
/// higher incarnation. Does no I/O: the caller passes in time and messages and sends the messages in the outbox.
/// Not thread-safe.
class Membership
{
public:
    explicit Membership(MembershipOptions options);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    /// Applies the platform's host list, which limits which hosts may become members. A host that is no longer
    /// listed remains a member until it stops responding or announces that it left.
    void setListed(const std::vector<ListedHost> &hosts, Time now);

    /// Processes a peer's message. Updates about hosts that were never listed are ignored.
    void receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox);

    /// Runs due timers. Call at nextTick(); a call that is more than maxTickDelay late counts as a pause of this host.
    void tick(Time now, Outbox<MembershipMessage> &outbox);

    /// When tick() must be called next.
    Time nextTick() const;

    /// Starts a planned shutdown: announces to the peers that this host drains and accepts no new work.
    void leave(Time now);

    /// Ends a planned shutdown: announces to some peers that this host left, which gossip spreads to the others.
    /// Later messages get no response.
    void depart(Time now, Outbox<MembershipMessage> &outbox);

    /// The members, including this host. View::number increases with each change.
    const View &view() const;

    /// Returns and clears the events since the last call.
    std::vector<MembershipEvent> takeEvents();

    /// False after a start or a pause until peers have confirmed the view, or until confirmTimeout has passed.
    /// Also false if `now` is more than maxTickDelay after nextTick(): then this host was paused.
    bool isFresh(Time now) const;

    /// This host's own incarnation; increases when the host refutes a suspicion, changes its leaving state or was paused.
    std::uint64_t incarnation() const;

    /// Memory for each peer in bytes, without the allocator's overhead.
    static std::size_t bytesPerPeer();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
