#include "guard/key_guard.h"

#include "base/hash.h"
#include "guard/guard_memory.h"
#include "guard/kept_keys.h"
#include "guard/rosters.h"

#include <algorithm>
#include <deque>
#include <map>
#include <utility>

namespace medlarway
{

namespace
{

/// Asks are sent again to guards that have not answered.
constexpr Duration kRetryInterval = std::chrono::milliseconds{200};

/// Sets of guards that one ask covers at most; beyond it lists change too fast for a verdict.
constexpr std::size_t kSetsPerAsk = 16;

/// Keys that one tick forgets at most.
constexpr std::size_t kExpiriesPerTick = 2'000;

/// Asks that ended without a run and are remembered, so that late votes for them are given back.
constexpr std::size_t kEndedAsks = 4'096;

/// Hosts that are asked in one second whether they have moved on to a later list.
constexpr std::size_t kRosterRequests = 4;

constexpr Duration kHousekeepingInterval = std::chrono::seconds{1};

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

/// How the votes on an ask stand.
enum class Tally : std::uint8_t {
    Open,
    Won,
    Lost,
};

// An ask is won with a majority of every set of guards, and lost once one set
// can't give it any more.
Tally tallyOf(const OpenAsk &ask)
{
    auto tally = Tally::Won;
    for (const auto &set : ask.sets) {
        std::size_t granted = 0;
        std::size_t pending = 0;
        for (const auto host : set.hosts) {
            const auto vote = ask.votes.at(host);
            granted += vote == Vote::Granted ? 1 : 0;
            pending += vote == Vote::Pending ? 1 : 0;
        }
        const auto needed = majorityOf(set.hosts.size());
        if (granted + pending < needed) {
            return Tally::Lost;
        }
        if (granted < needed) {
            tally = Tally::Open;
        }
    }
    return tally;
}

} // namespace

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

    // As an asker.
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

void KeyGuard::Impl::send(HostId to, GuardMessage message, Outbox<GuardMessage> &outbox)
{
    message.roster = rosters.hash();
    if (to == self) {
        toSelf.push_back(std::move(message));
    } else {
        outbox.push_back({to, std::move(message)});
    }
}

// Handles what this host's guard and askers say to each other.
void KeyGuard::Impl::drain(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    while (!toSelf.empty()) {
        const auto message = std::move(toSelf.front());
        toSelf.pop_front();
        dispatch(self, message, now, outbox, decisions);
    }
}

void KeyGuard::Impl::dispatch(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    if (message.memory.size() > kKeysPerMessage) {
        return;
    }
    noteRoster(from, message, now);
    switch (message.kind) {
    case GuardMessageKind::Ask:
        send(from, voteOn(from, message, now), outbox);
        break;
    case GuardMessageKind::Granted:
    case GuardMessageKind::Denied:
    case GuardMessageKind::NoVote:
        receiveVote(from, message, now, outbox, decisions);
        break;
    case GuardMessageKind::Release:
        kept.release(message.key, from, message.ask);
        break;
    case GuardMessageKind::MemoryRequest:
        if (memory.isFull(rosters, now)) {
            answerMemoryRequest(from, message.ask, kept, rosters, now, outbox);
        } else {
            answerWithLists(from, message.ask, rosters, outbox);
        }
        break;
    case GuardMessageKind::Memory:
        memory.receive(from, message, now, kept, rosters);
        break;
    case GuardMessageKind::RosterRequest: {
        GuardMessage answer;
        answer.kind = GuardMessageKind::Roster;
        if (memory.isFull(rosters, now)) {
            answer.guards = rosters.all();
        }
        send(from, std::move(answer), outbox);
        break;
    }
    case GuardMessageKind::Roster:
        break;
    }
}

// What this host knows of the key by its own runs needs no vote. True where it
// was decided.
bool KeyGuard::Impl::decideLocally(AskId id, const GuardKey &key, Time now, GuardDecisions &decisions) const
{
    const auto run = runs.find(key);
    if (run != runs.end() && now < run->second.until) {
        const auto verdict = run->second.ended ? GuardVerdict::Repeat : GuardVerdict::MayHaveRun;
        decisions.push_back({id, key, verdict, Time{}, self});
        return true;
    }
    if (asks.size() >= settings.askLimit || rosters.current().empty()) {
        decisions.push_back({id, key, GuardVerdict::Refused, Time{}, HostId{}});
        return true;
    }
    return false;
}

void KeyGuard::Impl::sendAsk(AskId id, const OpenAsk &ask, HostId guard, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::Ask;
    message.ask = id;
    message.key = ask.key;
    message.window = ask.window;
    send(guard, std::move(message), outbox);
}

void KeyGuard::Impl::addSet(AskId id, OpenAsk &ask, const GuardSet &set, Outbox<GuardMessage> &outbox)
{
    if (set.hosts.empty() || std::find(ask.sets.begin(), ask.sets.end(), set) != ask.sets.end()) {
        return;
    }
    ask.sets.push_back(set);
    for (const auto guard : set.hosts) {
        if (ask.votes.try_emplace(guard, Vote::Pending).second) {
            sendAsk(id, ask, guard, outbox);
        }
    }
}

// A list that came into force, or became known, after the ask began counts too:
// the guards have seen it in this host's later messages and don't name it. True
// where there was one.
bool KeyGuard::Impl::addKnownSets(AskId id, OpenAsk &ask, Time now, Outbox<GuardMessage> &outbox)
{
    const auto before = ask.sets.size();
    for (const auto &set : rosters.guardsOf(ask.key, now)) {
        addSet(id, ask, set, outbox);
    }
    return ask.sets.size() > before;
}

void KeyGuard::Impl::receiveVote(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox,
                                 GuardDecisions &decisions)
{
    const auto found = asks.find(message.ask);
    // Step 1. A vote for an ask that is over: given back where the ask is known not to have run.
    if (found == asks.end() || found->second.key != message.key) {
        const std::pair<AskId, GuardKey> ended{message.ask, message.key};
        const bool didNotRun = std::find(endedAsks.begin(), endedAsks.end(), ended) != endedAsks.end();
        if (message.kind == GuardMessageKind::Granted && didNotRun) {
            releaseAt(from, message.ask, message.key, outbox);
        }
        return;
    }
    // Step 2. Only a guard that was asked has a vote, and its first one counts.
    auto &ask = found->second;
    const auto vote = ask.votes.find(from);
    if (vote == ask.votes.end() || vote->second != Vote::Pending) {
        return;
    }
    // Step 3. Sets of guards by lists that only the voter knows must agree too.
    for (const auto &set : message.guards) {
        addSet(message.ask, ask, set, outbox);
    }
    switch (message.kind) {
    case GuardMessageKind::Granted:
        vote->second = Vote::Granted;
        break;
    case GuardMessageKind::Denied:
        vote->second = Vote::Denied;
        ask.holder = message.holder;
        break;
    default:
        vote->second = Vote::None;
        break;
    }
    evaluate(message.ask, now, outbox, decisions);
}

void KeyGuard::Impl::evaluate(AskId id, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    auto &ask = asks.at(id);
    auto tally = tallyOf(ask);
    if (tally == Tally::Won && addKnownSets(id, ask, now, outbox)) {
        tally = tallyOf(ask);
    }
    if (now >= ask.deadline || tally == Tally::Lost || ask.sets.size() > kSetsPerAsk) {
        lose(id, outbox, decisions);
    } else if (tally == Tally::Won) {
        win(id, now, decisions);
    }
}

void KeyGuard::Impl::win(AskId id, Time now, GuardDecisions &decisions)
{
    const auto ask = std::move(asks.extract(id).mapped());
    GrantedRun run;
    run.ask = id;
    run.until = now + keepFor(ask.window);
    for (const auto &[guard, vote] : ask.votes) {
        run.guards.push_back(guard);
    }
    runExpiries.emplace(run.until, ask.key);
    runs[ask.key] = std::move(run);
    decisions.push_back({id, ask.key, GuardVerdict::Run, ask.deadline, HostId{}});
}

// Ends an ask without a run and gives its votes back, so that the key isn't
// blocked for a window by a request that never ran.
void KeyGuard::Impl::lose(AskId id, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    const auto ask = std::move(asks.extract(id).mapped());
    noteEnded(id, ask.key);
    bool wasDenied = false;
    for (const auto &[guard, vote] : ask.votes) {
        wasDenied = wasDenied || vote == Vote::Denied;
        if (vote == Vote::Granted || vote == Vote::Pending) {
            releaseAt(guard, id, ask.key, outbox);
        }
    }
    const auto verdict = wasDenied ? GuardVerdict::MayHaveRun : GuardVerdict::Refused;
    decisions.push_back({id, ask.key, verdict, Time{}, ask.holder});
}

void KeyGuard::Impl::releaseAt(HostId guard, AskId id, const GuardKey &key, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::Release;
    message.ask = id;
    message.key = key;
    send(guard, std::move(message), outbox);
}

void KeyGuard::Impl::noteEnded(AskId id, const GuardKey &key)
{
    endedAsks.emplace_back(id, key);
    if (endedAsks.size() > kEndedAsks) {
        endedAsks.pop_front();
    }
}

GuardMessage KeyGuard::Impl::voteOn(HostId from, const GuardMessage &message, Time now)
{
    const auto sets = rosters.guardsOf(message.key, now);
    GuardMessage answer;
    answer.ask = message.ask;
    answer.key = message.key;
    answer.kind = grantOrDeny(from, message, sets, now, answer.holder);
    // An asker that uses the same list knows the current set itself.
    if (message.roster != rosters.hash() || sets.size() > 1) {
        answer.guards = sets;
    }
    return answer;
}

// The vote of a guard: a key is granted to one ask at a time.
GuardMessageKind KeyGuard::Impl::grantOrDeny(HostId from, const GuardMessage &message, const std::vector<GuardSet> &sets, Time now,
                                             HostId &holder)
{
    // Step 1. The key is kept. The same ask may hear again what it was told; a key that was recalled
    // from other guards may belong to a further ask, so nobody gets it.
    if (const auto *keeper = kept.find(message.key, now); keeper != nullptr) {
        holder = keeper->asker;
        const bool isSameAsk = keeper->asker == from && keeper->ask == message.ask;
        return isSameAsk && !keeper->recalled ? GuardMessageKind::Granted : GuardMessageKind::Denied;
    }
    // Step 2. The key may have been kept before this host was started, or there is no room to keep it.
    const auto window = std::clamp(message.window, Duration{0}, settings.longestWindow);
    if (!memory.covers(sets, window, now) || kept.size() >= settings.keyLimit) {
        return GuardMessageKind::NoVote;
    }
    // Step 3. It is free.
    kept.keep(message.key, {from, message.ask, now + keepFor(window), false});
    return GuardMessageKind::Granted;
}

// Two hosts with different lists may each see the same host move on to theirs.
// It tells the second one the list of the first, whose guards are then asked too.
// A host that has forgotten its lists tells none and has not moved on.
void KeyGuard::Impl::noteRoster(HostId from, const GuardMessage &message, Time now)
{
    const bool hasTold = message.kind == GuardMessageKind::Roster && !message.guards.empty();
    if (hasTold) {
        for (const auto &list : message.guards) {
            rosters.addEarlier(list.hosts, now);
        }
    }
    rosters.note(from, message.roster, hasTold, now);
}

// Asks a few of the hosts that may still use an earlier list, in turn.
void KeyGuard::Impl::askForRosters(Outbox<GuardMessage> &outbox)
{
    const auto hosts = rosters.unmoved();
    for (std::size_t count = 0; count < std::min(kRosterRequests, hosts.size()); ++count) {
        GuardMessage message;
        message.kind = GuardMessageKind::RosterRequest;
        send(hosts[rosterTurn++ % hosts.size()], std::move(message), outbox);
    }
}

KeyGuard::KeyGuard(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now)
    : impl_(std::make_unique<Impl>(self, settings, seed, now))
{
}

KeyGuard::~KeyGuard() = default;
KeyGuard::KeyGuard(KeyGuard &&) noexcept = default;
KeyGuard &KeyGuard::operator=(KeyGuard &&) noexcept = default;

void KeyGuard::setListed(std::vector<HostId> hosts, Time now, EarlierLists earlier)
{
    if (impl_->listed.empty()) {
        impl_->memory.setEarlierLists(earlier);
    }
    impl_->listed = std::move(hosts);
    impl_->rosters.setCurrent(impl_->listed, now);
}

AskId KeyGuard::ask(const GuardKey &key, Duration window, Time deadline, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    const auto id = ++impl_->lastAsk;
    if (impl_->decideLocally(id, key, now, decisions)) {
        return id;
    }
    auto &ask = impl_->asks[id];
    ask.key = key;
    ask.window = std::clamp(window, Duration{0}, impl_->settings.longestWindow);
    ask.deadline = std::min(deadline, now + impl_->settings.lease);
    ask.retryAt = now + kRetryInterval;
    for (const auto &set : impl_->rosters.guardsOf(key, now)) {
        impl_->addSet(id, ask, set, outbox);
    }
    impl_->drain(now, outbox, decisions);
    return id;
}

void KeyGuard::finished(AskId ask, const GuardKey &key, RunResult result, Time now, Outbox<GuardMessage> &outbox)
{
    const auto run = impl_->runs.find(key);
    if (run == impl_->runs.end() || run->second.ask != ask) {
        return;
    }
    if (result != RunResult::NotRun) {
        run->second.ended = result == RunResult::Ended;
        return;
    }
    impl_->noteEnded(ask, key);
    for (const auto guard : run->second.guards) {
        impl_->releaseAt(guard, ask, key, outbox);
    }
    impl_->runs.erase(run);
    GuardDecisions none;
    impl_->drain(now, outbox, none);
}

void KeyGuard::receive(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    if (from == impl_->self) {
        return;
    }
    impl_->dispatch(from, message, now, outbox, decisions);
    impl_->drain(now, outbox, decisions);
}

void KeyGuard::tick(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    // Step 1. Asks whose time is over, and guards that have not answered.
    std::vector<AskId> overdue;
    for (auto &[id, ask] : impl_->asks) {
        if (ask.deadline <= now) {
            overdue.push_back(id);
        } else if (ask.retryAt <= now) {
            ask.retryAt = now + kRetryInterval;
            for (const auto &[guard, vote] : ask.votes) {
                if (vote == Vote::Pending) {
                    impl_->sendAsk(id, ask, guard, outbox);
                }
            }
        }
    }
    for (const auto id : overdue) {
        impl_->lose(id, outbox, decisions);
    }
    impl_->drain(now, outbox, decisions);
    // Step 2. Keys and runs whose window is over.
    if (now < impl_->nextHousekeeping) {
        return;
    }
    impl_->nextHousekeeping = now + kHousekeepingInterval;
    impl_->kept.expire(now, kExpiriesPerTick);
    auto &expiries = impl_->runExpiries;
    for (; !expiries.empty() && expiries.begin()->first <= now; expiries.erase(expiries.begin())) {
        const auto run = impl_->runs.find(expiries.begin()->second);
        if (run != impl_->runs.end() && run->second.until <= now) {
            impl_->runs.erase(run);
        }
    }
    // Step 3. What other hosts must tell: keys forgotten at a restart, and whether they use the current list.
    impl_->memory.request(impl_->rosters, now, outbox);
    impl_->rosters.prune(now);
    impl_->rosters.setCurrent(impl_->listed, now);
    impl_->askForRosters(outbox);
}

std::optional<Time> KeyGuard::nextTick() const
{
    auto next = impl_->nextHousekeeping;
    for (const auto &[id, ask] : impl_->asks) {
        next = std::min({next, ask.retryAt, ask.deadline});
    }
    return next;
}

void KeyGuard::wokeLate(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    while (!impl_->asks.empty()) {
        impl_->lose(impl_->asks.begin()->first, outbox, decisions);
    }
    impl_->drain(now, outbox, decisions);
}

std::size_t KeyGuard::asksOpen() const
{
    return impl_->asks.size();
}

std::size_t KeyGuard::keysKept() const
{
    return impl_->kept.size();
}

bool KeyGuard::hasFullMemory(Time now) const
{
    return impl_->memory.isFull(impl_->rosters, now);
}

} // namespace medlarway
