#include "guard/guard_recovery.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// Time between requests to the hosts whose recovery response is not complete.
constexpr Duration kRequestInterval = std::chrono::seconds{2};

bool contains(const HostSet &set, HostId host)
{
    return std::find(set.hosts.begin(), set.hosts.end(), host) != set.hosts.end();
}

bool containsAll(const std::vector<HostSet> &known, const std::vector<HostSet> &lists)
{
    return std::all_of(lists.begin(), lists.end(),
                       [&known](const HostSet &list) { return std::find(known.begin(), known.end(), list) != known.end(); });
}

} // namespace

GuardRecovery::GuardRecovery(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now)
    : self_(self)
    , settings_(settings)
    , startedAt_(now)
    // A claim that this guard voted on before the start may collect votes for one lease. After two leases the other
    // guards hold the grants of every run that such a vote contributed to.
    , nextRequest_(now + 2 * settings.lease)
    , requestIdBase_(mixBits(seed) >> 1U)
    , lastRequestId_(requestIdBase_)
{
}

// A vote from before the start counts until the key's window and the lease have
// passed; the 64th allows for differing clock rates. Hosts with an earlier list
// may grant keys without this host until they are assumed to be stopped.
bool GuardRecovery::haveEarlierVotesExpired(Duration window, Time now) const
{
    auto abstention = std::min(window, settings_.startupAbstention);
    if (abstention != Duration{0} && earlierLists_ == EarlierLists::MayBeInUse) {
        abstention += settings_.listGiveUp;
    }
    return abstention == Duration{0} || now >= startedAt_ + abstention + abstention / 64 + settings_.lease;
}

// A run that needed a lost vote of this guard was also granted by at least a
// majority less one of the other guards. Once enough of the others have
// responded, at least one of these is among them and has sent the grant.
bool GuardRecovery::canVoteOn(const std::vector<HostSet> &sets, Duration window, Time now) const
{
    if (haveEarlierVotesExpired(window, now)) {
        return true;
    }
    bool isGuard = false;
    for (const auto &set : sets) {
        if (!contains(set, self_)) {
            continue;
        }
        isGuard = true;
        const auto responses
            = std::count_if(set.hosts.begin(), set.hosts.end(), [this](HostId host) { return completeHosts_.contains(host); });
        const auto needed = set.hosts.size() - majorityOf(set.hosts.size()) + 1;
        if (static_cast<std::size_t>(responses) < needed) {
            return false;
        }
    }
    return isGuard;
}

// Other guards recover from this one, so its recovery must be complete by every
// list in use and not by the current one alone. Otherwise two hosts that were
// restarted one after the other would recover from each other.
bool GuardRecovery::isComplete(const HostListHistory &hostLists, Time now) const
{
    if (haveEarlierVotesExpired(settings_.maxWindow, now)) {
        return true;
    }
    const auto lists = hostLists.all();
    const auto isGuard = [this](const HostSet &list) { return contains(list, self_); };
    const auto isFullHere = [this](const HostSet &list) { return hasEnoughResponses(list.hosts); };
    return std::any_of(lists.begin(), lists.end(), isGuard)
           && std::all_of(lists.begin(), lists.end(), [&](const HostSet &list) { return !isGuard(list) || isFullHere(list); });
}

// True if so few hosts of the list are missing that enough guards of any key have responded.
bool GuardRecovery::hasEnoughResponses(const std::vector<HostId> &hosts) const
{
    const auto missing
        = std::count_if(hosts.begin(), hosts.end(), [this](HostId host) { return host != self_ && !completeHosts_.contains(host); });
    const auto allowed = majorityOf(std::min(settings_.guardsPerKey, hosts.size()));
    return hosts.size() > 1 && static_cast<std::size_t>(missing) + 2 <= allowed;
}

void GuardRecovery::request(const HostListHistory &hostLists, Time now, Outbox<GuardMessage> &outbox)
{
    if (now < nextRequest_ || haveEarlierVotesExpired(settings_.maxWindow, now)) {
        return;
    }
    nextRequest_ = now + kRequestInterval;
    ++lastRequestId_;
    for (const auto host : hostLists.hosts()) {
        if (host != self_ && !completeHosts_.contains(host)) {
            GuardMessage message;
            message.kind = GuardMessageKind::RecoveryRequest;
            message.id = lastRequestId_;
            message.hostListHash = hostLists.hash();
            outbox.push_back({host, std::move(message)});
        }
    }
}

void GuardRecovery::receive(HostId from, const GuardMessage &message, Time now, GrantTable &grants, HostListHistory &hostLists)
{
    const bool isExpected = message.id > requestIdBase_ && message.id <= lastRequestId_;
    if (!isExpected) {
        return;
    }
    const auto listsBefore = hostLists.all().size();
    for (const auto &list : message.hostSets) {
        hostLists.addEarlier(list.hosts, now);
    }
    // Responses received so far leave out the guards by a list that is new here, so they are requested again.
    if (hostLists.all().size() > listsBefore) {
        completeHosts_.clear();
        responses_.clear();
    }
    // A host that has not recovered itself sends only its lists.
    if (message.part >= message.partCount) {
        return;
    }
    // A host that lacks a list known here left out the guards by that list. The lists are in the first part.
    if (message.part == 0 && !containsAll(message.hostSets, hostLists.all())) {
        return;
    }
    for (const auto &record : message.grants) {
        if (grants.size() >= settings_.maxKeys) {
            return;
        }
        if (grants.find(record.key, now) == nullptr) {
            const auto maxRemaining = settings_.maxWindow * 2 + settings_.lease;
            grants.put(record.key, {record.claimant, record.claim, now + std::min(record.remaining, maxRemaining), true});
        }
    }
    auto &response = responses_[from];
    if (message.id > response.requestId) {
        response = {message.id, message.partCount, {}};
    }
    if (message.id < response.requestId || message.partCount != response.partCount) {
        return;
    }
    response.receivedParts.insert(message.part);
    if (response.receivedParts.size() == response.partCount) {
        completeHosts_.insert(from);
    }
}

void sendHostLists(HostId to, std::uint64_t requestId, const HostListHistory &hostLists, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::RecoveryResponse;
    message.id = requestId;
    message.hostSets = hostLists.all();
    message.hostListHash = hostLists.hash();
    outbox.push_back({to, std::move(message)});
}

void sendGrants(HostId to, std::uint64_t requestId, const GrantTable &grants, const HostListHistory &hostLists, Time now,
                Outbox<GuardMessage> &outbox)
{
    std::vector<GuardMessage> messages(1);
    messages.front().hostSets = hostLists.all();
    for (const auto &[key, grant] : grants.all()) {
        const auto sets = hostLists.guardsOf(key, now);
        const bool isGuard = std::any_of(sets.begin(), sets.end(), [to](const HostSet &set) { return contains(set, to); });
        if (!isGuard || grant.expiresAt <= now) {
            continue;
        }
        if (messages.back().grants.size() >= kMaxGrantsPerMessage) {
            messages.emplace_back();
        }
        messages.back().grants.push_back({key, grant.claimant, grant.claim, grant.expiresAt - now});
    }
    std::uint32_t part = 0;
    for (auto &message : messages) {
        message.kind = GuardMessageKind::RecoveryResponse;
        message.id = requestId;
        message.hostListHash = hostLists.hash();
        message.part = part++;
        message.partCount = static_cast<std::uint32_t>(messages.size());
        outbox.push_back({to, std::move(message)});
    }
}

} // namespace medlarway
