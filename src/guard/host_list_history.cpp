#include "guard/host_list_history.h"

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

void sortUnique(std::vector<HostId> &hosts)
{
    std::sort(hosts.begin(), hosts.end());
    hosts.erase(std::unique(hosts.begin(), hosts.end()), hosts.end());
}

bool contains(const std::vector<HostId> &hosts, HostId host)
{
    return std::find(hosts.begin(), hosts.end(), host) != hosts.end();
}

} // namespace

HostListHistory::HostListHistory(HostId self, std::size_t guardsPerKey, Duration voteRetention, Duration listGiveUp)
    : self_(self)
    , guardsPerKey_(guardsPerKey)
    , voteRetention_(voteRetention)
    , listGiveUp_(listGiveUp)
{
}

bool HostListHistory::setCurrent(std::vector<HostId> hosts, Time now)
{
    sortUnique(hosts);
    const auto hash = hashOf(hosts);
    if (hosts.empty() || hash == hash_) {
        return true;
    }
    if (earlier_.size() >= kMaxEarlierLists) {
        return false;
    }
    std::erase_if(earlier_, [hash](const Earlier &earlier) { return earlier.hash == hash; });
    if (!current_.empty()) {
        addToHistory(std::move(current_), hash_, now);
    }
    current_ = std::move(hosts);
    hash_ = hash;
    recordUse(self_, hash_, true, now);
    return true;
}

void HostListHistory::addEarlier(std::vector<HostId> hosts, Time now)
{
    sortUnique(hosts);
    const auto hash = hashOf(hosts);
    const bool isKnown = std::any_of(earlier_.begin(), earlier_.end(), [hash](const Earlier &earlier) { return earlier.hash == hash; });
    if (!hosts.empty() && hash != hash_ && !isKnown && earlier_.size() < kMaxEarlierLists) {
        addToHistory(std::move(hosts), hash, now);
    }
}

void HostListHistory::addToHistory(std::vector<HostId> hosts, std::uint64_t hash, Time now)
{
    Earlier earlier;
    earlier.hosts = std::move(hosts);
    earlier.hash = hash;
    earlier.replacedAt = now;
    earlier_.push_back(std::move(earlier));
}

// A host that uses a list has switched from all lists before it. The hash of a
// list that is not stored here gives no order and changes nothing.
void HostListHistory::recordUse(HostId host, std::uint64_t hostListHash, bool sentLists, Time now)
{
    bool isLater = hostListHash == hash_;
    for (auto earlier = earlier_.rbegin(); earlier != earlier_.rend(); ++earlier) {
        const bool isThis = earlier->hash == hostListHash;
        if (isLater && sentLists && contains(earlier->hosts, host)) {
            earlier->switchedAt.try_emplace(host, now);
        } else if (isThis) {
            earlier->switchedAt.erase(host);
        }
        isLater = isLater || isThis;
    }
}

// The votes that the host gave before it switched count until voteRetention_ has passed.
bool HostListHistory::hasSwitched(const Earlier &earlier, HostId host, Time now) const
{
    const auto switched = earlier.switchedAt.find(host);
    return switched != earlier.switchedAt.end() && switched->second + voteRetention_ <= now;
}

// An earlier set of guards is superseded once a majority of it has switched: no
// claim can then win with votes of that set alone.
bool HostListHistory::isSuperseded(const Earlier &earlier, const HostSet &set, Time now) const
{
    const auto switched = std::count_if(set.hosts.begin(), set.hosts.end(), [&](HostId host) { return hasSwitched(earlier, host, now); });
    return static_cast<std::size_t>(switched) >= majorityOf(set.hosts.size());
}

// Removes a list once too few of its hosts still use it to be a majority of any
// key's guards, or once those that do are assumed to be stopped.
void HostListHistory::prune(Time now)
{
    std::erase_if(earlier_, [&](const Earlier &earlier) {
        if (earlier.replacedAt + listGiveUp_ <= now) {
            return true;
        }
        const auto switched
            = std::count_if(earlier.hosts.begin(), earlier.hosts.end(), [&](HostId host) { return hasSwitched(earlier, host, now); });
        const auto remaining = earlier.hosts.size() - static_cast<std::size_t>(switched);
        return remaining < majorityOf(std::min(guardsPerKey_, earlier.hosts.size())) && earlier.replacedAt + voteRetention_ <= now;
    });
}

HostSet HostListHistory::selectGuards(const GuardKey &key, const std::vector<HostId> &hosts) const
{
    HostSet set{rankHosts(hashOf(key), hosts, guardsPerKey_)};
    std::sort(set.hosts.begin(), set.hosts.end());
    return set;
}

std::vector<HostSet> HostListHistory::guardsOf(const GuardKey &key, Time now) const
{
    std::vector<HostSet> sets;
    if (!current_.empty()) {
        sets.push_back(selectGuards(key, current_));
    }
    for (const auto &earlier : earlier_) {
        auto set = selectGuards(key, earlier.hosts);
        if (!isSuperseded(earlier, set, now) && std::find(sets.begin(), sets.end(), set) == sets.end()) {
            sets.push_back(std::move(set));
        }
    }
    return sets;
}

std::vector<HostSet> HostListHistory::all() const
{
    std::vector<HostSet> lists{HostSet{current_}};
    for (const auto &earlier : earlier_) {
        lists.push_back(HostSet{earlier.hosts});
    }
    return lists;
}

std::vector<HostId> HostListHistory::hosts() const
{
    auto hosts = current_;
    for (const auto &earlier : earlier_) {
        hosts.insert(hosts.end(), earlier.hosts.begin(), earlier.hosts.end());
    }
    sortUnique(hosts);
    return hosts;
}

std::vector<HostId> HostListHistory::hostsToQuery() const
{
    std::vector<HostId> hosts;
    for (const auto &earlier : earlier_) {
        for (const auto host : earlier.hosts) {
            if (host != self_ && !earlier.switchedAt.contains(host)) {
                hosts.push_back(host);
            }
        }
    }
    sortUnique(hosts);
    return hosts;
}

} // namespace medlarway
