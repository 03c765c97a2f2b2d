#include "guard/key_guard_impl.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// Keys that one tick forgets at most.
constexpr std::size_t kExpiriesPerTick = 2'000;

/// Hosts that are asked in one second whether they have moved on to a later list.
constexpr std::size_t kRosterRequests = 4;

/// Asks are sent again to guards that have not answered.
constexpr Duration kRetryInterval = std::chrono::milliseconds{200};

constexpr Duration kHousekeepingInterval = std::chrono::seconds{1};

} // namespace

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
