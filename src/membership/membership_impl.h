#pragma once

#include "base/random.h"
#include "membership/peer_table.h"
#include "membership/probe_order.h"
#include "membership/update_queue.h"

#include <optional>

namespace medlarway
{

/// The probe of the current interval, which may still lack its acknowledgement.
struct PendingProbe {
    HostId target;
    std::uint64_t sequence = 0;
    Time retryAt; ///< when the probe is repeated, directly and indirectly
    bool retried = false;
    bool acknowledged = false;
};

/// An anti-entropy exchange in progress: reads a peer's member list in chunks.
struct PendingSync {
    HostId peer; ///< the host that is asked; 0 until one is chosen
    HostId cursor; ///< last host id received; the next chunk starts after it
    std::uint64_t sequence = 0; ///< of the outstanding request
    Time nextAt; ///< when to request the next chunk, or the same one from another peer if it has not arrived
    bool waiting = false; ///< a request is outstanding
    bool confirmed = true; ///< every chunk so far came from a host with a fresh view
    bool full = true; ///< reads the list to its end; otherwise one chunk only, to repair what gossip missed
};

/// The implementation of Membership.
struct Membership::Impl {
    explicit Impl(MembershipOptions given);

    // Timers, in membership_tick.cpp.
    void observeTime(Time now);
    void resumeAfterPause(Time now);
    void tick(Time now, Outbox<MembershipMessage> &outbox);
    void startProbeInterval(Time now, Outbox<MembershipMessage> &outbox);
    void retryProbe(Outbox<MembershipMessage> &outbox);
    void finishProbe(Time now);
    void startProbe(Time now, Outbox<MembershipMessage> &outbox);
    void probeSuspect(Outbox<MembershipMessage> &outbox);
    void probeAbsent(Outbox<MembershipMessage> &outbox);
    void sendNotices(MembershipUpdateKind kind, Outbox<MembershipMessage> &outbox);
    void startFullSync(Time now);
    void startRepairSync(Time now);
    void requestSyncChunk(Time now, Outbox<MembershipMessage> &outbox);
    Time nextTick() const;
    HostId randomPeer(bool membersOnly);

    // Messages, in membership.cpp.
    void receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox);
    void applyUpdate(const MembershipUpdate &update, Time now, bool disseminate = true);
    void refute(std::uint64_t claimedIncarnation);
    void respond(HostId from, const MembershipMessage &message, bool promptRefutation, Outbox<MembershipMessage> &outbox);
    void acknowledgeProbe(HostId host);
    void onSyncReply(HostId from, const MembershipMessage &message, Time now);
    MembershipMessage compose(MembershipMessageKind kind, HostId to, bool promptRefutation);
    HostId appendMembers(HostId after, std::vector<MembershipUpdate> &updates) const;
    void announceSelf();
    bool selfLeaving() const;
    Duration suspicionTimeout() const;
    std::uint32_t gossipRounds(std::uint32_t factor) const;
    const View &currentView();

    MembershipOptions options;
    PeerTable table;
    UpdateQueue queue;
    Random random;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t intervalCount = 0; ///< probe intervals since the start
    bool started = false;
    bool leaving = false;
    bool departed = false;
    bool fresh = false; ///< the view is confirmed, or the wait for a confirmation timed out
    Time nextProbe;
    Time freshDeadline;
    Time lastRejoinSync; ///< when a rejoining host last triggered a full sync
    ProbeOrder memberOrder;
    ProbeOrder absentOrder;
    std::optional<PendingProbe> probe;
    std::optional<PendingSync> sync;
    std::uint32_t syncReplies = 0; ///< chunks sent in the current probe interval
    HostId repairCursor; ///< start of the next repair sync
    std::optional<Time> noticeDueAt; ///< when to send Notices after a change of this host's own state; empty if none is due
    View view;
    bool viewStale = true;
};

} // namespace medlarway
