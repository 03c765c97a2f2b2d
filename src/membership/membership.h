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

/// How a membership core is set up. All spans are wall times.
struct MembershipOptions {
    HostId self;
    AvailabilityZone zone;
    std::uint64_t incarnation = 1; ///< at the start; higher after a restart, as milliseconds of the wall clock are
    std::uint64_t seed = 1;
    Duration probeInterval = std::chrono::milliseconds{500}; ///< one host is probed in each
    Duration ackTimeout = std::chrono::milliseconds{150}; ///< then it is probed again and through others
    Duration pauseBound = std::chrono::seconds{1}; ///< a tick later than this means that the host was paused
    Duration freshWait = std::chrono::seconds{3}; ///< how long a host waits for its peers to confirm its view
    Duration syncInterval = std::chrono::seconds{5}; ///< between two requests that repair what gossip missed
    std::uint32_t indirectProbes = 3; ///< hosts that are asked to probe one that did not answer
    std::uint32_t updatesPerMessage = 6; ///< claims that ride on a probe or its answer; up to four times as many after a mass failure
    std::uint32_t suspicionRounds = 2; ///< a suspect has this times log2(hosts) probe intervals to refute
    std::uint32_t retransmitFactor = 2; ///< a claim is sent this times log2(hosts) times
};

/// What a change of the view was.
enum class MembershipNewsKind : std::uint8_t {
    Joined, ///< answers for the first time, or again after its removal
    Suspected,
    Removed, ///< did not refute the suspicion
    Leaving,
    Left, ///< ended as it said
    ZoneLost, ///< no host of the zone answers and one was removed
    ZoneReturned,
    WokeLate, ///< this host was paused
};

/// One change, for logs and for the cores that act on it.
struct MembershipNews {
    MembershipNewsKind kind = MembershipNewsKind::Joined;
    HostId host; ///< 0 for ZoneLost and ZoneReturned
    AvailabilityZone zone;

    friend bool operator==(const MembershipNews &, const MembershipNews &) = default;
};

/// Finds out which of the listed hosts answer, by probes, probes through others, and suspicion that a host
/// may refute. Pure: time and messages come in, messages go out. Not thread-safe.
class Membership
{
public:
    explicit Membership(MembershipOptions options);
    ~Membership();
    Membership(Membership &&) noexcept;
    Membership &operator=(Membership &&) noexcept;

    /// Takes the platform's host list, which says who may be a member. A host that is no longer on it
    /// stays a member until it stops answering or says that it left.
    void setListed(const std::vector<ListedHost> &hosts, Time now);

    /// Takes a peer's message. Claims of hosts that were never listed are ignored.
    void receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox);

    /// Time passed. Call at nextTick(); a call much later counts as a pause of this host.
    void tick(Time now, Outbox<MembershipMessage> &outbox);

    /// When tick must be called next.
    Time nextTick() const;

    /// This host finishes what it has and takes nothing new; the peers are told.
    void leave(Time now);

    /// This host ends now: tells some peers, who tell the others. It answers nothing afterwards.
    void depart(Time now, Outbox<MembershipMessage> &outbox);

    /// The members, this host included. The number rises with each change.
    const View &view() const;

    /// The changes since the last call.
    std::vector<MembershipNews> takeNews();

    /// False from the start or a late wake-up until peers have confirmed the view, or freshWait has passed
    /// without any. Also false when asked later than the next tick allows: then this host was paused.
    bool isFresh(Time now) const;

    /// This host's own incarnation; it rises when the host refutes a suspicion or wakes late.
    std::uint64_t incarnation() const;

    /// Bytes that one more peer costs, without the allocator's own.
    static std::size_t bytesPerPeer();

private:
    struct Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace medlarway
