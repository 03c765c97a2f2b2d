#include "entry/peer_hosts.h"

#include <algorithm>

namespace medlarway
{

PeerHosts::PeerHosts(const Endpoint &self, std::uint64_t seed)
    : self_(self)
    , random_(seed)
{
}

void PeerHosts::setSeeds(const std::vector<Endpoint> &seeds)
{
    seeds_ = seeds;
}

void PeerHosts::recordContact(const Endpoint &host, Time now)
{
    if (host != self_ && host.port != 0) {
        lastSeen_[host] = now;
    }
    // Evict the least recently seen host.
    if (lastSeen_.size() > kMaxHosts) {
        lastSeen_.erase(
            std::min_element(lastSeen_.begin(), lastSeen_.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

// A reported host is added with half of its lifetime used up and never refreshes a known one, so that hosts do not keep a terminated host
// alive by reporting it to each other.
void PeerHosts::addReported(const std::vector<Endpoint> &hosts, Time now)
{
    for (const auto &host : hosts) {
        if (!lastSeen_.contains(host)) {
            recordContact(host, now - kPeerExpiry / 2);
        }
    }
}

std::optional<Endpoint> PeerHosts::next(Time now)
{
    std::erase_if(lastSeen_, [now](const auto &entry) { return now - entry.second > kPeerExpiry; });
    if (round_.empty()) {
        round_ = seeds_;
        for (const auto &[host, seenAt] : lastSeen_) {
            round_.push_back(host);
        }
        std::sort(round_.begin(), round_.end());
        round_.erase(std::unique(round_.begin(), round_.end()), round_.end());
        std::erase(round_, self_);
        std::shuffle(round_.begin(), round_.end(), random_);
    }
    if (round_.empty()) {
        return std::nullopt;
    }
    const auto host = round_.back();
    round_.pop_back();
    return host;
}

std::vector<Endpoint> PeerHosts::recent(Time now) const
{
    std::vector<Endpoint> hosts;
    for (const auto &[host, seenAt] : lastSeen_) {
        if (now - seenAt <= kPeerExpiry / 2) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace medlarway
