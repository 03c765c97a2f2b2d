#include "load_exchange/demand_table.h"

#include "base/errors.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace medlarway
{

namespace
{

// Sums whose ages differ by less are about the same moment, and the more complete one is better. It is twice the shortest interval.
constexpr Duration kSameMoment = std::chrono::milliseconds{500};

[[noreturn]] void refuse(const char *detail)
{
    throw Error(ErrorKind::PeerMalformed, detail);
}

// A service that this host does not know, or knows no upstreams of, is no fault: the sender may have later data.
std::optional<double> knownSlots(const SlotsOf &slotsOf, const std::string &service)
{
    const auto slots = slotsOf(service);
    return slots && *slots > 0 ? slots : std::nullopt;
}

void checkDemands(const std::vector<std::uint32_t> &hundredths, const std::vector<std::string> &services, const SlotsOf &slotsOf)
{
    if (hundredths.size() != services.size()) {
        refuse("demands of other services than listed");
    }
    for (std::size_t index = 0; index < services.size(); ++index) {
        const auto slots = knownSlots(slotsOf, services[index]);
        if (slots && hundredths[index] / 100.0 > kMaxDemandPerSlot * *slots) {
            refuse("a demand far beyond the slots of the service");
        }
    }
}

void checkServices(const std::vector<std::string> &services)
{
    const bool named
        = std::all_of(services.begin(), services.end(), [](const auto &name) { return !name.empty() && name.size() <= kMaxNameBytes; });
    if (services.size() > kMaxReportedServices || !named) {
        refuse("too many services, or names without a valid length");
    }
}

} // namespace

std::uint32_t ZoneSumRecord::hosts() const
{
    std::uint32_t most = 0;
    for (const auto &[service, sum] : sums) {
        most = std::max(most, sum.hosts);
    }
    return most;
}

void DemandTable::addHosts(HostId from, const DemandReport &report, const SlotsOf &slotsOf, Time now)
{
    for (const auto &told : report.hosts) {
        const auto host = told.host.value == 0 ? from : told.host;
        const auto measuredAt = now - std::chrono::milliseconds{told.ageMs};
        const auto known = hosts_.find(host);
        if (now - measuredAt >= kDemandLifetime || (known != hosts_.end() && known->second.measuredAt > measuredAt)
            || (known == hosts_.end() && hosts_.size() >= kMaxDemandHosts)) {
            continue;
        }
        HostDemandRecord record{measuredAt, from, {}};
        for (std::size_t index = 0; index < report.services.size(); ++index) {
            if (told.hundredths[index] > 0 && knownSlots(slotsOf, report.services[index])) {
                record.demands[report.services[index]] = told.hundredths[index] / 100.0;
            }
        }
        hosts_[host] = std::move(record);
    }
}

void DemandTable::setOwn(HostId self, std::map<std::string, double> demands, Time now)
{
    if (demands.empty()) {
        hosts_.erase(self);
    } else {
        hosts_[self] = HostDemandRecord{now, self, std::move(demands)};
    }
}

void DemandTable::addZone(HostId from, const ZoneSums &sums, const std::vector<std::string> &services, const SlotsOf &slotsOf,
                          Time measuredAt)
{
    const auto known = zones_.find(sums.zone);
    if (known == zones_.end() ? zones_.size() >= kMaxDemandZones
                              : (known->second.size() >= kMaxTellersPerZone && !known->second.contains(from))) {
        return;
    }
    ZoneSumRecord record{measuredAt, {}};
    for (std::size_t index = 0; index < services.size(); ++index) {
        if (sums.hosts[index] > 0 && knownSlots(slotsOf, services[index])) {
            record.sums[services[index]] = {sums.hundredths[index] / 100.0, sums.hosts[index]};
        }
    }
    zones_[sums.zone][from] = std::move(record);
}

void DemandTable::expire(Duration hostLifetime, Time now)
{
    std::erase_if(hosts_, [&](const auto &entry) { return now - entry.second.measuredAt >= hostLifetime; });
    for (auto &[zone, records] : zones_) {
        std::erase_if(records, [now](const auto &entry) { return now - entry.second.measuredAt >= kDemandLifetime; });
    }
    std::erase_if(zones_, [](const auto &entry) { return entry.second.empty(); });
}

void DemandTable::clear()
{
    hosts_.clear();
    zones_.clear();
}

ZoneSumRecord DemandTable::sumOfHosts() const
{
    ZoneSumRecord record{Time::max(), {}};
    for (const auto &[host, told] : hosts_) {
        record.measuredAt = std::min(record.measuredAt, told.measuredAt);
        for (const auto &[service, requests] : told.demands) {
            auto &sum = record.sums[service];
            sum.requests += requests;
            ++sum.hosts;
        }
    }
    return record;
}

std::map<std::string, ZoneSumRecord> DemandTable::bestZones() const
{
    std::map<std::string, ZoneSumRecord> best;
    for (const auto &[zone, records] : zones_) {
        auto freshest = Time::min();
        for (const auto &[host, record] : records) {
            freshest = std::max(freshest, record.measuredAt);
        }
        const ZoneSumRecord *chosen = nullptr;
        for (const auto &[host, record] : records) {
            const bool candidate = freshest - record.measuredAt < kSameMoment;
            const auto rank = [](const ZoneSumRecord &sums) { return std::pair(sums.hosts(), sums.measuredAt); };
            if (candidate && (chosen == nullptr || rank(record) > rank(*chosen))) {
                chosen = &record;
            }
        }
        best[zone] = *chosen;
    }
    return best;
}

void checkReport(const DemandReport &report, const SlotsOf &slotsOf)
{
    checkServices(report.services);
    if (report.hosts.size() > kMaxReportedHosts) {
        refuse("too many hosts");
    }
    for (const auto &host : report.hosts) {
        checkDemands(host.hundredths, report.services, slotsOf);
    }
    checkZones(report.zones, report.services, slotsOf);
}

void checkZones(const std::vector<ZoneSums> &zones, const std::vector<std::string> &services, const SlotsOf &slotsOf)
{
    if (zones.size() > kMaxDemandZones) {
        refuse("too many zones");
    }
    for (const auto &zone : zones) {
        if (zone.zone.empty() || zone.zone.size() > kMaxNameBytes || zone.hosts.size() != services.size()) {
            refuse("a zone without a valid name, or with sums of other services than listed");
        }
        if (std::any_of(zone.hosts.begin(), zone.hosts.end(), [](auto count) { return count > kMaxDemandHosts; })) {
            refuse("a sum of more hosts than a zone has");
        }
        checkDemands(zone.hundredths, services, slotsOf);
    }
}

ZoneSums zoneSumsOf(const std::string &zone, const ZoneSumRecord &record, const std::vector<std::string> &services, Time now)
{
    ZoneSums sums{zone, toAgeMs(now - record.measuredAt), {}, {}};
    for (const auto &service : services) {
        const auto found = record.sums.find(service);
        const auto sum = found == record.sums.end() ? ZoneSumRecord::Sum{} : found->second;
        sums.hundredths.push_back(toHundredths(sum.requests));
        sums.hosts.push_back(sum.hosts);
    }
    return sums;
}

std::uint32_t toHundredths(double requests)
{
    constexpr double kMax = std::numeric_limits<std::uint32_t>::max();
    return requests > 0 ? static_cast<std::uint32_t>(std::clamp(std::round(requests * 100), 1.0, kMax)) : 0;
}

std::uint16_t toAgeMs(Duration age)
{
    const auto ms = std::chrono::ceil<std::chrono::milliseconds>(age).count();
    return static_cast<std::uint16_t>(std::clamp<std::int64_t>(ms, 0, std::numeric_limits<std::uint16_t>::max()));
}

} // namespace medlarway
