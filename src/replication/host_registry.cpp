#include "replication/host_registry.h"

#include "base/hash.h"
#include "placement/rendezvous.h"

#include <algorithm>
#include <utility>

namespace medlarway
{

HostRegistry::HostRegistry(HostId self, AvailabilityZone zone)
    : self_(self)
    , zone_(std::move(zone))
{
}

void HostRegistry::recordContact(HostId host, const Endpoint &control, const AvailabilityZone &zone, Time now)
{
    if (host != self_ && zone == zone_) {
        lastContactInZone_ = now;
    }
    store(host, Entry{control, zone, now});
}

void HostRegistry::store(HostId host, const Entry &entry)
{
    if (host == self_ || host.value == 0 || (hosts_.size() >= kMaxHosts && !hosts_.contains(host))) {
        return;
    }
    hosts_[host] = entry;
}

void HostRegistry::refresh(HostId host, Time now)
{
    if (const auto known = hosts_.find(host); known != hosts_.end()) {
        known->second.heardAt = now;
        lastContactInZone_ = known->second.zone == zone_ ? now : lastContactInZone_;
    }
}

// Ages add up on the way, so hosts do not keep a stopped one alive by reporting it to each other.
void HostRegistry::recordReported(const HostRecord &host, Time now)
{
    const auto heardAt = now - std::clamp(host.heardAgo, Duration{}, kHostExpiry);
    const auto known = hosts_.find(host.id);
    if (host.heardAgo < kHostExpiry && (known == hosts_.end() || known->second.heardAt < heardAt)) {
        store(host.id, Entry{host.control, zone_, heardAt});
    }
}

void HostRegistry::forget(HostId host)
{
    hosts_.erase(host);
}

void HostRegistry::expire(Time now)
{
    std::erase_if(hosts_, [now](const auto &entry) { return now - entry.second.heardAt > kHostExpiry; });
}

std::vector<HostId> HostRegistry::ranked(const AvailabilityZone &zone, std::size_t count) const
{
    std::vector<HostId> hosts;
    for (const auto &[host, entry] : hosts_) {
        if (entry.zone == zone) {
            hosts.push_back(host);
        }
    }
    if (zone == zone_) {
        hosts.push_back(self_);
    }
    return rankHosts(hashBytes(zone.name), std::span<const HostId>(hosts), count);
}

std::size_t HostRegistry::countIn(const AvailabilityZone &zone) const
{
    const auto others = std::count_if(hosts_.begin(), hosts_.end(), [&zone](const auto &entry) { return entry.second.zone == zone; });
    return static_cast<std::size_t>(others) + (zone == zone_ ? 1 : 0);
}

bool HostRegistry::isIn(HostId host, const AvailabilityZone &zone) const
{
    const auto known = hosts_.find(host);
    return known != hosts_.end() && known->second.zone == zone;
}

std::vector<HostRecord> HostRegistry::report(const AvailabilityZone &zone, Time now) const
{
    std::vector<HostRecord> records;
    for (const auto host : ranked(zone, kReportedHosts)) {
        if (const auto known = hosts_.find(host); known != hosts_.end()) {
            records.push_back({host, known->second.control, now - known->second.heardAt});
        }
    }
    return records;
}

std::optional<Endpoint> HostRegistry::controlOf(HostId host) const
{
    const auto known = hosts_.find(host);
    return known == hosts_.end() ? std::nullopt : std::optional(known->second.control);
}

} // namespace medlarway
