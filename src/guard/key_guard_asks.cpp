#include "guard/key_guard_impl.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// Sets of guards that one ask covers at most; beyond it lists change too fast for a verdict.
constexpr std::size_t kSetsPerAsk = 16;

/// Asks that ended without a run and are remembered, so that late votes for them are given back.
constexpr std::size_t kEndedAsks = 4'096;

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

} // namespace medlarway
