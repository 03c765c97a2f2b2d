#include "guard/guard_memory.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

/// How long to wait before hosts that have not told all they keep are asked again.
constexpr Duration kRequestInterval = std::chrono::seconds{2};

bool contains(const GuardSet &set, HostId host)
{
    return std::find(set.hosts.begin(), set.hosts.end(), host) != set.hosts.end();
}

bool knowsAll(const std::vector<GuardSet> &known, const std::vector<GuardSet> &lists)
{
    return std::all_of(lists.begin(), lists.end(),
                       [&known](const GuardSet &list) { return std::find(known.begin(), known.end(), list) != known.end(); });
}

} // namespace

GuardMemory::GuardMemory(HostId self, const GuardSettings &settings, std::uint64_t seed, Time now)
    : self_(self)
    , settings_(settings)
    , startedAt_(now)
    // An ask from before the start may still collect votes for one lease. What the others keep after
    // two is what every run with a forgotten vote of this guard has left with them.
    , nextRequest_(now + 2 * settings.lease)
    , firstRequest_(mixBits(seed) >> 1U)
    , lastRequest_(firstRequest_)
{
}

// Votes from before the start don't matter any more once the window and the
// lease of the youngest have passed. Hosts with an earlier list may go on to
// grant keys without this host until they are taken to be stopped.
bool GuardMemory::isOldEnough(Duration window, Time now) const
{
    auto silence = std::min(window, settings_.silence);
    if (silence != Duration{0} && earlierLists_ == EarlierLists::MayBeInUse) {
        silence += settings_.listGiveUp;
    }
    return silence == Duration{0} || now >= startedAt_ + silence + silence / 64 + settings_.lease;
}

// A run that a forgotten vote of this guard helped to grant has left its votes
// with a majority less one of the other guards. Among as many others as make
// up the rest and one more, at least one has kept it.
bool GuardMemory::covers(const std::vector<GuardSet> &sets, Duration window, Time now) const
{
    if (isOldEnough(window, now)) {
        return true;
    }
    bool isGuard = false;
    for (const auto &set : sets) {
        if (!contains(set, self_)) {
            continue;
        }
        isGuard = true;
        const auto told = std::count_if(set.hosts.begin(), set.hosts.end(), [this](HostId host) { return complete_.contains(host); });
        const auto needed = set.hosts.size() - majorityOf(set.hosts.size()) + 1;
        if (static_cast<std::size_t>(told) < needed) {
            return false;
        }
    }
    return isGuard;
}

// Other guards rely on this one for every list that matters, not for the
// current one alone: two hosts that were started one after the other would
// vouch for each other.
bool GuardMemory::isFull(const Rosters &rosters, Time now) const
{
    if (isOldEnough(settings_.longestWindow, now)) {
        return true;
    }
    const auto lists = rosters.all();
    const auto isGuard = [this](const GuardSet &list) { return contains(list, self_); };
    const auto isFullHere = [this](const GuardSet &list) { return isFullFor(list.hosts); };
    return std::any_of(lists.begin(), lists.end(), isGuard)
           && std::all_of(lists.begin(), lists.end(), [&](const GuardSet &list) { return !isGuard(list) || isFullHere(list); });
}

// At most so many hosts of the list may be missing that enough guards of every key have told.
bool GuardMemory::isFullFor(const std::vector<HostId> &hosts) const
{
    const auto missing
        = std::count_if(hosts.begin(), hosts.end(), [this](HostId host) { return host != self_ && !complete_.contains(host); });
    const auto allowed = majorityOf(std::min(settings_.guardCount, hosts.size()));
    return hosts.size() > 1 && static_cast<std::size_t>(missing) + 2 <= allowed;
}

void GuardMemory::request(const Rosters &rosters, Time now, Outbox<GuardMessage> &outbox)
{
    if (now < nextRequest_ || isOldEnough(settings_.longestWindow, now)) {
        return;
    }
    nextRequest_ = now + kRequestInterval;
    ++lastRequest_;
    for (const auto host : rosters.hosts()) {
        if (host != self_ && !complete_.contains(host)) {
            GuardMessage message;
            message.kind = GuardMessageKind::MemoryRequest;
            message.ask = lastRequest_;
            message.roster = rosters.hash();
            outbox.push_back({host, std::move(message)});
        }
    }
}

void GuardMemory::receive(HostId from, const GuardMessage &message, Time now, KeptKeys &keys, Rosters &rosters)
{
    const bool isExpected = message.ask > firstRequest_ && message.ask <= lastRequest_;
    if (!isExpected) {
        return;
    }
    const auto listsBefore = rosters.all().size();
    for (const auto &list : message.guards) {
        rosters.addEarlier(list.hosts, now);
    }
    // Hosts that told before did not know a list that is new here: they vouched for less.
    if (rosters.all().size() > listsBefore) {
        complete_.clear();
        parts_.clear();
    }
    // A host that has forgotten keys itself tells its lists only.
    if (message.part >= message.parts) {
        return;
    }
    // One that doesn't know a list that is known here can't vouch for that list's keys. The lists come with the first part.
    if (message.part == 0 && !knowsAll(message.guards, rosters.all())) {
        return;
    }
    for (const auto &kept : message.memory) {
        if (keys.size() >= settings_.keyLimit) {
            return;
        }
        if (keys.find(kept.key, now) == nullptr) {
            const auto longest = settings_.longestWindow * 2 + settings_.lease;
            keys.keep(kept.key, {kept.asker, kept.ask, now + std::min(kept.remaining, longest), true});
        }
    }
    auto &parts = parts_[from];
    if (message.ask > parts.request) {
        parts = {message.ask, message.parts, {}};
    }
    if (message.ask < parts.request || message.parts != parts.expected) {
        return;
    }
    parts.received.insert(message.part);
    if (parts.received.size() == parts.expected) {
        complete_.insert(from);
    }
}

void answerWithLists(HostId from, std::uint64_t request, const Rosters &rosters, Outbox<GuardMessage> &outbox)
{
    GuardMessage message;
    message.kind = GuardMessageKind::Memory;
    message.ask = request;
    message.guards = rosters.all();
    message.roster = rosters.hash();
    outbox.push_back({from, std::move(message)});
}

void answerMemoryRequest(HostId from, std::uint64_t request, const KeptKeys &keys, const Rosters &rosters, Time now,
                         Outbox<GuardMessage> &outbox)
{
    std::vector<GuardMessage> messages(1);
    messages.front().guards = rosters.all();
    for (const auto &[key, holder] : keys.all()) {
        const auto sets = rosters.guardsOf(key, now);
        const bool isGuard = std::any_of(sets.begin(), sets.end(), [from](const GuardSet &set) { return contains(set, from); });
        if (!isGuard || holder.until <= now) {
            continue;
        }
        if (messages.back().memory.size() >= kKeysPerMessage) {
            messages.emplace_back();
        }
        messages.back().memory.push_back({key, holder.asker, holder.ask, holder.until - now});
    }
    std::uint32_t part = 0;
    for (auto &message : messages) {
        message.kind = GuardMessageKind::Memory;
        message.ask = request;
        message.roster = rosters.hash();
        message.part = part++;
        message.parts = static_cast<std::uint32_t>(messages.size());
        outbox.push_back({from, std::move(message)});
    }
}

} // namespace medlarway
