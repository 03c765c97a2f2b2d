#include "guard/key_guard_impl.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// Expiry entries handled per tick.
constexpr std::size_t kMaxExpiriesPerTick = 2'000;

/// Hosts per housekeeping interval that are asked whether they have switched to a later host list.
constexpr std::size_t kHostListRequestsPerTick = 4;

/// Time between vote requests to a guard that has not voted.
constexpr Duration kRetryInterval = std::chrono::milliseconds{200};

constexpr Duration kHousekeepingInterval = std::chrono::seconds{1};

} // namespace

void KeyGuard::Impl::send(HostId to, GuardMessage message, Outbox<GuardMessage> &outbox)
{
    message.hostListHash = hostLists.hash();
    if (to == self) {
        toSelf.push_back(std::move(message));
    } else {
        outbox.push_back({to, std::move(message)});
    }
}

// Delivers the messages between this host's claims and its own guard.
void KeyGuard::Impl::deliverToSelf(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    while (!toSelf.empty()) {
        const auto message = std::move(toSelf.front());
        toSelf.pop_front();
        dispatch(self, message, now, outbox, decisions);
    }
}

void KeyGuard::Impl::dispatch(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    if (message.grants.size() > kMaxGrantsPerMessage) {
        return;
    }
    recordHostList(from, message, now);
    switch (message.kind) {
    case GuardMessageKind::VoteRequest:
        send(from, voteOn(from, message, now), outbox);
        break;
    case GuardMessageKind::Granted:
    case GuardMessageKind::Denied:
    case GuardMessageKind::Abstained:
        receiveVote(from, message, now, outbox, decisions);
        break;
    case GuardMessageKind::Release:
        grants.release(message.key, from, message.id);
        break;
    case GuardMessageKind::RecoveryRequest:
        if (recovery.isComplete(hostLists, now)) {
            sendGrants(from, message.id, grants, hostLists, now, outbox);
        } else {
            sendHostLists(from, message.id, hostLists, outbox);
        }
        break;
    case GuardMessageKind::RecoveryResponse:
        recovery.receive(from, message, now, grants, hostLists);
        break;
    case GuardMessageKind::HostListRequest: {
        GuardMessage response;
        response.kind = GuardMessageKind::HostListResponse;
        if (recovery.isComplete(hostLists, now)) {
            response.hostSets = hostLists.all();
        }
        send(from, std::move(response), outbox);
        break;
    }
    case GuardMessageKind::HostListResponse:
        break;
    }
}

GuardMessage KeyGuard::Impl::voteOn(HostId from, const GuardMessage &message, Time now)
{
    const auto sets = hostLists.guardsOf(message.key, now);
    GuardMessage response;
    response.id = message.id;
    response.key = message.key;
    response.kind = grantOrDeny(from, message, sets, now, response.holder);
    // A claimant that uses the same list has the current set already.
    if (message.hostListHash != hostLists.hash() || sets.size() > 1) {
        response.hostSets = sets;
    }
    return response;
}

// Decides a vote: a key is granted to one claim at a time.
GuardMessageKind KeyGuard::Impl::grantOrDeny(HostId from, const GuardMessage &message, const std::vector<HostSet> &sets, Time now,
                                             HostId &holder)
{
    // Step 1. The key is reserved. A claim that repeats its request gets the same vote again. A grant recovered from
    // other guards may have been followed by another claim's, so it is confirmed to nobody.
    if (const auto *grant = grants.find(message.key, now); grant != nullptr) {
        holder = grant->claimant;
        const bool isSameClaim = grant->claimant == from && grant->claim == message.id;
        return isSameClaim && !grant->recovered ? GuardMessageKind::Granted : GuardMessageKind::Denied;
    }
    // Step 2. A grant given before the start may be lost, or there is no room for another.
    const auto window = std::clamp(message.window, Duration{0}, settings.maxWindow);
    if (!recovery.canVoteOn(sets, window, now) || grants.size() >= settings.maxKeys) {
        return GuardMessageKind::Abstained;
    }
    // Step 3. The key is free.
    grants.put(message.key, {from, message.id, now + reservationTime(window), false});
    return GuardMessageKind::Granted;
}

// Two hosts that use different lists may each see a third one switch to theirs.
// Before the third counts as switched, it sends the lists it knows, so that the
// guards of the other list are asked too. A host that has lost its lists in a
// restart sends none and doesn't count as switched.
void KeyGuard::Impl::recordHostList(HostId from, const GuardMessage &message, Time now)
{
    const bool sentLists = message.kind == GuardMessageKind::HostListResponse && !message.hostSets.empty();
    if (sentLists) {
        for (const auto &list : message.hostSets) {
            hostLists.addEarlier(list.hosts, now);
        }
    }
    hostLists.recordUse(from, message.hostListHash, sentLists, now);
}

// Asks a few of the hosts that may still use an earlier list, in rotation.
void KeyGuard::Impl::requestHostLists(Outbox<GuardMessage> &outbox)
{
    const auto hosts = hostLists.hostsToQuery();
    for (std::size_t count = 0; count < std::min(kHostListRequestsPerTick, hosts.size()); ++count) {
        GuardMessage message;
        message.kind = GuardMessageKind::HostListRequest;
        send(hosts[nextHostListRequest++ % hosts.size()], std::move(message), outbox);
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
        impl_->recovery.setEarlierLists(earlier);
    }
    impl_->listed = std::move(hosts);
    impl_->hostLists.setCurrent(impl_->listed, now);
}

ClaimId KeyGuard::claim(const GuardKey &key, Duration window, Time deadline, Time now, Outbox<GuardMessage> &outbox,
                        GuardDecisions &decisions)
{
    const auto id = ++impl_->lastClaim;
    if (impl_->decideLocally(id, key, now, decisions)) {
        return id;
    }
    auto &claim = impl_->claims[id];
    claim.key = key;
    claim.window = std::clamp(window, Duration{0}, impl_->settings.maxWindow);
    claim.deadline = std::min(deadline, now + impl_->settings.lease);
    claim.retryAt = now + kRetryInterval;
    for (const auto &set : impl_->hostLists.guardsOf(key, now)) {
        impl_->addGuardSet(id, claim, set, outbox);
    }
    impl_->deliverToSelf(now, outbox, decisions);
    return id;
}

void KeyGuard::finishRun(ClaimId claim, const GuardKey &key, RunResult result, Time now, Outbox<GuardMessage> &outbox)
{
    const auto run = impl_->runs.find(key);
    if (run == impl_->runs.end() || run->second.claim != claim) {
        return;
    }
    if (result != RunResult::NotRun) {
        run->second.completed = result == RunResult::Completed;
        return;
    }
    impl_->recordReleased(claim, key);
    for (const auto guard : run->second.guards) {
        impl_->sendRelease(guard, claim, key, outbox);
    }
    impl_->runs.erase(run);
    GuardDecisions none;
    impl_->deliverToSelf(now, outbox, none);
}

void KeyGuard::receive(HostId from, const GuardMessage &message, Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    if (from == impl_->self) {
        return;
    }
    impl_->dispatch(from, message, now, outbox, decisions);
    impl_->deliverToSelf(now, outbox, decisions);
}

void KeyGuard::tick(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    // Step 1. Fail claims past their deadline; repeat requests to guards that have not voted.
    std::vector<ClaimId> overdue;
    for (auto &[id, claim] : impl_->claims) {
        if (claim.deadline <= now) {
            overdue.push_back(id);
        } else if (claim.retryAt <= now) {
            claim.retryAt = now + kRetryInterval;
            for (const auto &[guard, vote] : claim.votes) {
                if (vote == Vote::Pending) {
                    impl_->sendVoteRequest(id, claim, guard, outbox);
                }
            }
        }
    }
    for (const auto id : overdue) {
        impl_->failClaim(id, outbox, decisions);
    }
    impl_->deliverToSelf(now, outbox, decisions);
    // Step 2. Remove expired grants and runs.
    if (now < impl_->nextHousekeeping) {
        return;
    }
    impl_->nextHousekeeping = now + kHousekeepingInterval;
    impl_->grants.expire(now, kMaxExpiriesPerTick);
    auto &expiries = impl_->runExpiries;
    for (; !expiries.empty() && expiries.begin()->first <= now; expiries.erase(expiries.begin())) {
        const auto run = impl_->runs.find(expiries.begin()->second);
        if (run != impl_->runs.end() && run->second.expiresAt <= now) {
            impl_->runs.erase(run);
        }
    }
    // Step 3. Recover grants lost in a restart, and find out which hosts use the current list.
    impl_->recovery.request(impl_->hostLists, now, outbox);
    impl_->hostLists.prune(now);
    impl_->hostLists.setCurrent(impl_->listed, now);
    impl_->requestHostLists(outbox);
}

std::optional<Time> KeyGuard::nextTick() const
{
    auto next = impl_->nextHousekeeping;
    for (const auto &[id, claim] : impl_->claims) {
        next = std::min({next, claim.retryAt, claim.deadline});
    }
    return next;
}

void KeyGuard::handlePause(Time now, Outbox<GuardMessage> &outbox, GuardDecisions &decisions)
{
    while (!impl_->claims.empty()) {
        impl_->failClaim(impl_->claims.begin()->first, outbox, decisions);
    }
    impl_->deliverToSelf(now, outbox, decisions);
}

std::size_t KeyGuard::pendingClaims() const
{
    return impl_->claims.size();
}

std::size_t KeyGuard::grantedKeys() const
{
    return impl_->grants.size();
}

bool KeyGuard::isRecovered(Time now) const
{
    return impl_->recovery.isComplete(impl_->hostLists, now);
}

} // namespace medlarway
