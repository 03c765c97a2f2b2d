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

void PeerHosts::heardOf(const Endpoint &host, Time now)
{
    if (host != self_ && host.port != 0) {
        heard_[host] = now;
    }
    // The one that was heard of longest ago makes room.
    if (heard_.size() > kMostNamed) {
        heard_.erase(std::min_element(heard_.begin(), heard_.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
}

// Only filled in where nothing is known at first hand, so that hosts do not keep a dead one alive by naming it.
void PeerHosts::named(const std::vector<Endpoint> &hosts, Time now)
{
    for (const auto &host : hosts) {
        if (!heard_.contains(host)) {
            heardOf(host, now - kPeerMemory / 2);
        }
    }
}

std::optional<Endpoint> PeerHosts::next(Time now)
{
    std::erase_if(heard_, [now](const auto &row) { return now - row.second > kPeerMemory; });
    if (round_.empty()) {
        round_ = seeds_;
        for (const auto &[host, heard] : heard_) {
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
    for (const auto &[host, heard] : heard_) {
        if (now - heard <= kPeerMemory / 2) {
            hosts.push_back(host);
        }
    }
    return hosts;
}

} // namespace medlarway
