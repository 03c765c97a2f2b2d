#pragma once

#include "base/hash.h"
#include "guard/guard_memory.h"
#include "guard/kept_keys.h"
#include "guard/key_guard.h"
#include "guard/rosters.h"

#include <deque>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace medlarway
{

/// What a guard said to an ask.
enum class Vote : std::uint8_t {
    Pending,
    Granted,
    Denied,
    None,
};

/// An ask that waits for votes.
struct OpenAsk {
    GuardKey key;
    Duration window{0};
    Time deadline;
    Time retryAt;
    std::vector<GuardSet> sets;
    std::map<HostId, Vote> votes;
    HostId holder;
};

/// A run that this host was granted.
struct GrantedRun {
    AskId ask = 0;
    std::vector<HostId> guards;
    bool ended = false;
    Time until;
};

/// The state of a KeyGuard.
struct KeyGuard::Impl {
    HostId self;
    GuardSettings settings;
    Rosters rosters;
    GuardMemory memory;
    KeptKeys kept;
    std::map<AskId, OpenAsk> asks;
    std::unordered_map<GuardKey, GrantedRun, GuardKeyHash> runs;
    std::multimap<Time, GuardKey> runExpiries;
    std::deque<std::pair<AskId, GuardKey>> endedAsks; ///< they did not run and won't
    AskId lastAsk;
    Time nextHousekeeping;
    std::vector<HostId> listed; ///< as it was given; in force a little later where lists change too fast
    std::size_t rosterTurn = 0; ///< which hosts are asked next for their list
    std::deque<GuardMessage> toSelf; ///< messages to the guard of this host

    Impl(HostId selfId, const GuardSettings &guardSettings, std::uint64_t seed, Time now)
        : self(selfId)
        , settings(guardSettings)
        , rosters(selfId, guardSettings.guardCount, keepFor(guardSettings.longestWindow), guardSettings.listGiveUp)
        , memory(selfId, guardSettings, seed, now)
        , lastAsk(mixBits(seed))
        , nextHousekeeping(now)
    {
    }

    // How long a vote is kept: the run may begin as late as a lease after it, and two hosts' clocks may run
    // at slightly different rates.
    Duration keepFor(Duration window) const
    {
        return window + window / 64 + settings.lease;
    }

    void send(HostId to, GuardMessage message, Outbox<GuardMessage> &outbox);
    void drain(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void dispatch(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);

    // As an asker, in key_guard_asks.cpp.
    bool decideLocally(AskId id, const GuardKey &key, Time now, GuardDecisions &decisions) const;
    void addSet(AskId id, OpenAsk &ask, const GuardSet &set, Outbox<GuardMessage> &outbox);
    bool addKnownSets(AskId id, OpenAsk &ask, Time now, Outbox<GuardMessage> &outbox);
    void sendAsk(AskId id, const OpenAsk &ask, HostId guard, Outbox<GuardMessage> &outbox);
    void receiveVote(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void evaluate(AskId id, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void win(AskId id, Time now, GuardDecisions &decisions);
    void lose(AskId id, Outbox<GuardMessage> &outbox, GuardDecisions &decisions);
    void releaseAt(HostId guard, AskId id, const GuardKey &key, Outbox<GuardMessage> &outbox);
    void noteEnded(AskId id, const GuardKey &key);

    // As a guard.
    void askForRosters(Outbox<GuardMessage> &outbox);
    void noteRoster(HostId from, const GuardMessage &message, Time now);
    GuardMessage voteOn(HostId from, const GuardMessage &message, Time now);
    GuardMessageKind grantOrDeny(HostId from, const GuardMessage &message, const std::vector<GuardSet> &sets, Time now, HostId &holder);
};

} // namespace medlarway
