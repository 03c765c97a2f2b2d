#include "guard/rosters.h"

#include "base/hash.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

namespace
{

std::uint64_t hashOf(const std::vector<HostId> &hosts)
{
    std::uint64_t hash = 1;
    for (const auto host : hosts) {
        hash = combineHash(hash, host.value);
    }
    return hash;
}

std::uint64_t hashOf(const GuardKey &key)
{
    return combineHash(key.service, combineHash(key.keyHigh, key.keyLow));
}

void sortOnce(std::vector<HostId> &hosts)
{
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
}

bool contains(const std::vector<HostId> &hosts, HostId host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

Rosters::Rosters(HostId self, std::size_t guardCount, Duration retention, Duration giveUp)
    : self_(self)
    , guardCount_(guardCount)
    , retention_(retention)
    , giveUp_(giveUp)
{
}

bool Rosters::setCurrent(std::vector<HostId> hosts, Time now)
{
    sortOnce(hosts);
    const auto hash = hashOf(hosts);
    if (hosts.empty() || hash == hash_) {
        return true;
    }
    if (earlier_.size() >= kEarlierLists) {
        return false;
    }
    std::erase_if(earlier_, [hash](const Earlier &earlier) { return earlier.hash == hash; });
    if (!current_.empty()) {
        remember(std::move(current_), hash_, now);
    }
    current_ = std::move(hosts);
    hash_ = hash;
    note(self_, hash_, true, now);
    return true;
}

void Rosters::addEarlier(std::vector<HostId> hosts, Time now)
{
    sortOnce(hosts);
    const auto hash = hashOf(hosts);
    const bool isKnown = std::any_of(earlier_.begin(), earlier_.end(), [hash](const Earlier &earlier) { return earlier.hash == hash; });
    if (!hosts.empty() && hash != hash_ && !isKnown && earlier_.size() < kEarlierLists) {
        remember(std::move(hosts), hash, now);
    }
}

void Rosters::remember(std::vector<HostId> hosts, std::uint64_t hash, Time now)
{
    Earlier earlier;
    earlier.hosts = std::move(hosts);
    earlier.hash = hash;
    earlier.replacedAt = now;
    earlier_.push_back(std::move(earlier));
}

// A host that uses a list has moved on from all that came before it. One that
// uses a list unknown here proves nothing.
void Rosters::note(HostId host, std::uint64_t roster, bool hasTold, Time now)
{
    bool isLater = roster == hash_;
    for (auto earlier = earlier_.rbegin(); earlier != earlier_.rend(); ++earlier) {
        const bool isThis = earlier->hash == roster;
        if (isLater && hasTold && contains(earlier->hosts, host)) {
            earlier->movedAt.try_emplace(host, now);
        } else if (isThis) {
            earlier->movedAt.erase(host);
        }
        isLater = isLater || isThis;
    }
}

// Votes that the host gave before it moved on matter for the retention.
bool Rosters::hasMoved(const Earlier &earlier, HostId host, Time now) const
{
    const auto moved = earlier.movedAt.find(host);
    return moved != earlier.movedAt.end() && moved->second + retention_ <= now;
}

// An earlier set of guards is closed once a majority of it has moved on: no
// run can then be granted by that set alone.
bool Rosters::isClosedFor(const Earlier &earlier, const GuardSet &set, Time now) const
{
    const auto moved = std::count_if(set.hosts.begin(), set.hosts.end(), [&](HostId host) { return hasMoved(earlier, host, now); });
    return static_cast<std::size_t>(moved) >= majorityOf(set.hosts.size());
}

// A list is forgotten once too few of its hosts are left to be a majority of
// any key's guards, or when those that are left are taken to be stopped.
void Rosters::prune(Time now)
{
    std::erase_if(earlier_, [&](const Earlier &earlier) {
        if (earlier.replacedAt + giveUp_ <= now) {
            return true;
        }
        const auto moved
            = std::count_if(earlier.hosts.begin(), earlier.hosts.end(), [&](HostId host) { return hasMoved(earlier, host, now); });
        const auto left = earlier.hosts.size() - static_cast<std::size_t>(moved);
        return left < majorityOf(std::min(guardCount_, earlier.hosts.size())) && earlier.replacedAt + retention_ <= now;
    });
}

GuardSet Rosters::drawFrom(const GuardKey &key, const std::vector<HostId> &hosts) const
{
    GuardSet set{rankHosts(hashOf(key), hosts, guardCount_)};
    std::sort(set.hosts.begin(), set.hosts.end());
    return set;
}

std::vector<GuardSet> Rosters::guardsOf(const GuardKey &key, Time now) const
{
    std::vector<GuardSet> sets;
    if (!current_.empty()) {
        sets.push_back(drawFrom(key, current_));
    }
    for (const auto &earlier : earlier_) {
        auto set = drawFrom(key, earlier.hosts);
        if (!isClosedFor(earlier, set, now) && std::find(sets.begin(), sets.end(), set) == sets.end()) {
            sets.push_back(std::move(set));
        }
    }
    return sets;
}

std::vector<GuardSet> Rosters::all() const
{
    std::vector<GuardSet> lists{GuardSet{current_}};
    for (const auto &earlier : earlier_) {
        lists.push_back(GuardSet{earlier.hosts});
    }
    return lists;
}

std::vector<HostId> Rosters::hosts() const
{
    auto hosts = current_;
    for (const auto &earlier : earlier_) {
        hosts.insert(hosts.end(), earlier.hosts.begin(), earlier.hosts.end());
    }
    sortOnce(hosts);
    return hosts;
}

std::vector<HostId> Rosters::unmoved() const
{
    std::vector<HostId> hosts;
    for (const auto &earlier : earlier_) {
        for (const auto host : earlier.hosts) {
            if (host != self_ && !earlier.movedAt.contains(host)) {
                hosts.push_back(host);
            }
        }
    }
    sortOnce(hosts);
    return hosts;
}

} // namespace medlarway
