#pragma once

#include "base/random.h"
#include "membership/peer_table.h"
#include "membership/probe_order.h"
#include "membership/update_queue.h"

#include <optional>

namespace medlarway
{

/// The probe that waits for its answer.
struct PendingProbe {
    HostId target;
    std::uint64_t sequence = 0;
    Time retryAt; ///< when it is sent again and through others
    bool retried = false;
    bool answered = false;
};

/// The walk over a peer's list of members, chunk by chunk.
struct PendingSync {
    HostId peer;
    HostId cursor; ///< the last host that was told
    std::uint64_t sequence = 0;
    Time nextAt; ///< when the next chunk is asked for, of another peer where none came
    bool waiting = false;
    bool confirmed = true; ///< every chunk so far came from a host whose own view is fresh
    bool whole = true; ///< walks to the end; else one chunk, to repair what gossip missed
};

/// What Membership does; one member function for each kind of event.
struct Membership::Impl {
    explicit Impl(MembershipOptions given);

    // Time, in membership_tick.cpp.
    void noteTime(Time now);
    void wakeLate(Time now);
    void tick(Time now, Outbox<MembershipMessage> &outbox);
    void startInterval(Time now, Outbox<MembershipMessage> &outbox);
    void retryProbe(Outbox<MembershipMessage> &outbox);
    void finishProbe(Time now);
    void startProbe(Time now, Outbox<MembershipMessage> &outbox);
    void probeSuspect(Outbox<MembershipMessage> &outbox);
    void probeAbsent(Outbox<MembershipMessage> &outbox);
    void sendNotices(PeerClaim claim, Outbox<MembershipMessage> &outbox);
    void beginSync(Time now);
    void beginRepair(Time now);
    void stepSync(Time now, Outbox<MembershipMessage> &outbox);
    Time nextTick() const;
    HostId randomPeer(bool membersOnly);

    // Messages, in membership.cpp.
    void receive(HostId from, const MembershipMessage &message, Time now, Outbox<MembershipMessage> &outbox);
    void applyUpdate(const MembershipUpdate &update, Time now, bool passOn = true);
    void refute(std::uint64_t claimed);
    void answer(HostId from, const MembershipMessage &message, bool corrected, Outbox<MembershipMessage> &outbox);
    void noteAnswer(HostId host);
    void onSyncReply(HostId from, const MembershipMessage &message, Time now);
    MembershipMessage compose(MembershipMessageKind kind, HostId to, bool correct);
    HostId appendMembers(HostId after, std::vector<MembershipUpdate> &updates) const;
    void announceSelf();
    bool selfLeaving() const;
    Duration suspicion() const;
    std::uint32_t rounds(std::uint32_t factor) const;
    const View &currentView();

    MembershipOptions options;
    PeerTable table;
    UpdateQueue queue;
    Random random;
    std::uint64_t incarnation;
    std::uint64_t sequence = 0;
    std::uint64_t period = 0; ///< probe intervals since the start
    bool started = false;
    bool leaving = false;
    bool departed = false;
    bool fresh = false;
    Time nextProbe;
    Time freshDeadline;
    Time lastHealing; ///< when the last walk began that a returned host caused
    ProbeOrder memberOrder;
    ProbeOrder absentOrder;
    std::optional<PendingProbe> probe;
    std::optional<PendingSync> sync;
    std::uint32_t syncReplies = 0; ///< chunks told in this interval
    HostId repairCursor; ///< where the next repair goes on
    std::optional<Time> noticeAt; ///< this host's own state changed: some peers are told then
    View view;
    bool viewStale = true;
};

} // namespace medlarway
