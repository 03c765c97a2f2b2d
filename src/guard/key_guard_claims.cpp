#include "guard/key_guard_impl.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// Guard sets per claim; with more of them, host lists change too fast for a verdict.
constexpr std::size_t kMaxGuardSetsPerClaim = 16;

/// Claims that ended without a run and stay recorded, so that a grant that arrives late is released.
constexpr std::size_t kMaxReleasedClaims = 4'096;

/// The state of the votes on a claim.
enum class Tally : std::uint8_t {
    Undecided,
    Won,
    Lost,
};

// A claim is won by a majority of every guard set, and lost once one set can't
// reach its majority.
Tally tallyOf(const PendingClaim &claim)
{
    auto tally = Tally::Won;
    for (const auto &set : claim.sets) {
        std::size_t granted = 0;
        std::size_t pending = 0;
        for (const auto host : set.hosts) {
            const auto vote = claim.votes.at(host);
            granted += vote == Vote::Granted ? 1 : 0;
            pending += vote == Vote::Pending ? 1 : 0;
        }
        const auto needed = majorityOf(set.hosts.size());
        if (granted + pending < needed) {
            return Tally::Lost;
        }
        if (granted < needed) {
            tally = Tally::Undecided;
        }
    }
    return tally;
}

} // namespace

// Decides without votes where this host itself was granted a run of the key, or
// where it can't ask any guard. True if it decided.
bool KeyGuard::Impl::decideLocally(ClaimId id, const GuardKey &key, Time now, GuardDecisions &decisions) const
{
    const auto run = runs.find(key);
    if (run != runs.end() && now < run->second.expiresAt) {
        const auto verdict = run->second.completed ? GuardVerdict::Repeat : GuardVerdict::MayHaveRun;
        decisions.push_back({id, key, verdict, Time{}, self});
        return true;
    }
    if (claims.size() >= settings.maxPendingClaims || hostLists.current().empty()) {
        decisions.push_back({id, key, GuardVerdict::Refused, Time{}, HostId{}});
        return true;
    }
    return false;
}

void KeyGuard::Impl::sendVoteRequest(ClaimId id, const PendingClaim &claim, HostId guard, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::VoteRequest;
    message.id = id;
    message.key = claim.key;
    message.window = claim.window;
    send(guard, std::move(message), outbox);
}

void KeyGuard::Impl::addGuardSet(ClaimId id, PendingClaim &claim, const HostSet &set, Outbox<GuardMessage> &outbox)
{
    if (set.hosts.empty() || std::find(claim.sets.begin(), claim.sets.end(), set) != claim.sets.end()) {
        return;
    }
    claim.sets.push_back(set);
    for (const auto guard : set.hosts) {
        if (claim.votes.try_emplace(guard, Vote::Pending).second) {
            sendVoteRequest(id, claim, guard, outbox);
        }
    }
}

// Adds the guard sets of host lists that this host learned after the claim was
// sent. The guards leave them out of their votes once this host's messages carry
// the new list's hash. True if any were added.
bool KeyGuard::Impl::addNewGuardSets(ClaimId id, PendingClaim &claim, Time now, Outbox<GuardMessage> &outbox)
{
    const auto before = claim.sets.size();
    for (const auto &set : hostLists.guardsOf(claim.key, now)) {
        addGuardSet(id, claim, set, outbox);
    }
    return claim.sets.size() > before;
}

void KeyGuard::Impl::receiveVote(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox,
                                 GuardDecisions &decisions)
{
    const auto found = claims.find(message.id);
    // Step 1. A vote for a claim that is closed: release the grant if the claim is recorded as not run.
    if (found == claims.end() || found->second.key != message.key) {
        const std::pair<ClaimId, GuardKey> closed{message.id, message.key};
        const bool didNotRun = std::find(releasedClaims.begin(), releasedClaims.end(), closed) != releasedClaims.end();
        if (message.kind == GuardMessageKind::Granted && didNotRun) {
            sendRelease(from, message.id, message.key, outbox);
        }
        return;
    }
    // Step 2. Only guards that were asked may vote, and only their first vote counts.
    auto &claim = found->second;
    const auto vote = claim.votes.find(from);
    if (vote == claim.votes.end() || vote->second != Vote::Pending) {
        return;
    }
    // Step 3. Guard sets by host lists that only the voter knows must reach a majority too.
    for (const auto &set : message.hostSets) {
        addGuardSet(message.id, claim, set, outbox);
    }
    switch (message.kind) {
    case GuardMessageKind::Granted:
        vote->second = Vote::Granted;
        break;
    case GuardMessageKind::Denied:
        vote->second = Vote::Denied;
        claim.holder = message.holder;
        break;
    default:
        vote->second = Vote::Abstained;
        break;
    }
    evaluate(message.id, now, outbox, decisions);
}

void KeyGuard::Impl::evaluate(ClaimId id, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    auto &claim = claims.at(id);
    auto tally = tallyOf(claim);
    if (tally == Tally::Won && addNewGuardSets(id, claim, now, outbox)) {
        tally = tallyOf(claim);
    }
    if (now >= claim.deadline || tally == Tally::Lost || claim.sets.size() > kMaxGuardSetsPerClaim) {
        failClaim(id, outbox, decisions);
    } else if (tally == Tally::Won) {
        grantRun(id, now, decisions);
    }
}

void KeyGuard::Impl::grantRun(ClaimId id, Time now, GuardDecisions &decisions)
{
    const auto claim = std::move(claims.extract(id).mapped());
    GrantedRun run;
    run.claim = id;
    run.expiresAt = now + reservationTime(claim.window);
    for (const auto &[guard, vote] : claim.votes) {
        run.guards.push_back(guard);
    }
    runExpiries.emplace(run.expiresAt, claim.key);
    runs[claim.key] = std::move(run);
    decisions.push_back({id, claim.key, GuardVerdict::Run, claim.deadline, HostId{}});
}

// Closes a claim without a run and releases its grants. Otherwise a request that
// never ran would block its key for a whole window.
void KeyGuard::Impl::failClaim(ClaimId id, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    const auto claim = std::move(claims.extract(id).mapped());
    recordReleased(id, claim.key);
    bool wasDenied = false;
    for (const auto &[guard, vote] : claim.votes) {
        wasDenied = wasDenied || vote == Vote::Denied;
        if (vote == Vote::Granted || vote == Vote::Pending) {
            sendRelease(guard, id, claim.key, outbox);
        }
    }
    const auto verdict = wasDenied ? GuardVerdict::MayHaveRun : GuardVerdict::Refused;
    decisions.push_back({id, claim.key, verdict, Time{}, claim.holder});
}

void KeyGuard::Impl::sendRelease(HostId guard, ClaimId id, const GuardKey &key, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::Release;
    message.id = id;
    message.key = key;
    send(guard, std::move(message), outbox);
}

void KeyGuard::Impl::recordReleased(ClaimId id, const GuardKey &key)
{
    releasedClaims.emplace_back(id, key);
    if (releasedClaims.size() > kMaxReleasedClaims) {
        releasedClaims.pop_front();
    }
}

} // namespace medlarway
