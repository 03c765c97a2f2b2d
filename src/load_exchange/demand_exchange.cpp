#include "load_exchange/demand_exchange.h"

#include "placement/rendezvous.h"

#include <algorithm>
#include <span>
#include <utility>

namespace medlarway
{

namespace
{

// How often a host looks whether it is near its limit while nothing else is due.
constexpr Duration kIdlePoll = std::chrono::milliseconds{100};

// Minimum time between two ticks that no message causes.
constexpr Duration kMinTickInterval = std::chrono::milliseconds{2};

// How long a round waits for the replies of seeds: they collect for 20 ms, and zones are a few milliseconds apart.
constexpr Duration kSeedWait = std::chrono::milliseconds{60};

// How long a round waits for a collector, which may itself wait for seeds; with that a report is answered before its sender gives it up.
constexpr Duration kCollectorWait = std::chrono::milliseconds{120};

// Reports that arrive this soon after a pause may have waited in the socket, for an unknown time.
constexpr Duration kPauseGuard = std::chrono::milliseconds{100};

// A host whose report was lost has repeated it after this time. One that did not is no longer near its limit, or has stopped; the sums must
// not be as old as its last report for longer.
constexpr Duration kRepeatTime = std::chrono::milliseconds{500};

// Longest interval between rounds; beyond kDemandLifetime the exchange is of little use but still within its budget.
constexpr Duration kMaxReportInterval = std::chrono::seconds{5};

// Number of services of which a host tells its own demand.
constexpr std::size_t kMaxOwnServices = 8;

// Share of a round's bytes by which the next interval is longer at most for bytes beyond the budget, so that hosts get in step soon.
constexpr double kMaxDebt = 0.25;

// Number of seeds that a reader tells, so that zones whose reports do not reach one seed still meet at another.
constexpr std::size_t kSeedsTold = 2;

// All hosts rank the seeds alike, so that the zones meet at the same seeds.
constexpr std::uint64_t kSeedRankKey = 0x6465'6d61'6e64;

std::uint16_t toMs(Duration span)
{
    return toAgeMs(std::max(span, Duration{}));
}

} // namespace

DemandExchange::DemandExchange(DemandExchangeOptions options)
    : options_(std::move(options))
    , interval_(kMinReportInterval)
    , needed_(kMinReportInterval)
    , number_(options_.firstNumber)
    , byteBudget_(kExchangeBurstBytes)
{
}

void DemandExchange::onReport(HostId from, const DemandReport &report, const SlotsOf &slotsOf, Time now)
{
    if (from == options_.self || now < ignoreReportsUntil_) {
        return;
    }
    checkReport(report, slotsOf);
    auto &round = report.zones.empty() ? zoneRound_ : seedRound_;
    charge(round, encodedBytes(report));
    if (!round.add(from, report, now)) {
        return;
    }
    table_.addHosts(from, report, slotsOf, now);
    for (const auto &zone : report.zones) {
        table_.addZone(from, zone, report.services, slotsOf, now - std::chrono::milliseconds{zone.ageMs});
    }
    if (round.phase() == Phase::Idle && !round.answersAtOnce(now)) {
        round.open(kCollectTime, now);
    }
}

// The reply was on its way for at most the part of the round trip in which it was not held.
void DemandExchange::onReply(HostId from, const DemandReply &reply, const SlotsOf &slotsOf, Time now)
{
    const auto *sent = targets_.findSent(from, reply.number);
    if (sent == nullptr) {
        return;
    }
    charge(zoneRound_, encodedBytes(reply));
    checkZones(reply.zones, sent->services, slotsOf); // a sender of bad replies counts as one that does not reply
    const auto roundTrip = now - sent->sentAt;
    const auto underway = roundTrip - std::min<Duration>(std::chrono::milliseconds{reply.heldMs}, roundTrip);
    for (const auto &zone : reply.zones) {
        const auto age = std::chrono::milliseconds{zone.ageMs} + underway;
        // What a seed has of this zone is what this host or another reader told it.
        if (age < kDemandLifetime && !(collectsZone_ && zone.zone == options_.zone.name)) {
            table_.addZone(from, zone, sent->services, slotsOf, now - age);
        }
    }
    const auto next = std::clamp<Duration>(std::chrono::milliseconds{reply.nextMs}, kMinReportInterval / 2, kMaxReportInterval);
    upstreamNextAt_ = std::max(upstreamNextAt_, now + next);
    targets_.recordReply(from);
}

void DemandExchange::onPause(Time now)
{
    table_.clear();
    zoneRound_.clear();
    seedRound_.clear();
    targets_.clearSent();
    upstreamNextAt_ = now;
    ignoreReportsUntil_ = now + kPauseGuard;
}

void DemandExchange::tick(const std::vector<ServiceDemand> &own, const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox)
{
    refill(now);
    targets_.expire(now);
    table_.expire(std::min(interval_ + kRepeatTime, kDemandLifetime), now);
    zoneRound_.expire(now);
    seedRound_.expire(now);
    recordOwn(own, now);
    runSeedRound(now, outbox);
    runZoneRound(targets, now, outbox);
    nextTick_ = firstDue(now);
}

// Of more services than a message takes, those near the limit are told, and then those of most demand.
void DemandExchange::recordOwn(const std::vector<ServiceDemand> &own, Time now)
{
    std::vector<const ServiceDemand *> demands;
    for (const auto &demand : own) {
        if (toHundredths(demand.requests) > 0 && !demand.service.empty() && demand.service.size() <= kMaxNameBytes) {
            demands.push_back(&demand);
        }
    }
    std::sort(demands.begin(), demands.end(), [](const auto *first, const auto *second) {
        return std::pair(first->nearLimit, first->requests) > std::pair(second->nearLimit, second->requests);
    });
    demands.resize(std::min(demands.size(), kMaxOwnServices));
    near_ = !demands.empty() && demands.front()->nearLimit;
    ownServices_.clear();
    std::map<std::string, double> recorded;
    for (const auto *demand : demands) {
        ownServices_.push_back(demand->service);
        recorded[demand->service] = demand->requests;
    }
    table_.setOwn(options_.self, std::move(recorded), now);
}

void DemandExchange::runZoneRound(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox)
{
    // Step 1. Open a round for this host's own report; reports of others open one when they arrive. A reader that is the first to be near
    // its limit waits for the others of its zone.
    if (zoneRound_.phase() == Phase::Idle && near_ && now >= std::max(zoneRound_.nextAt(), upstreamNextAt_)) {
        zoneRound_.open(targets.reader || !zoneRound_.empty() ? kCollectTime : Duration{}, now);
    }
    // Step 2. Report upwards once the reports of this round are there.
    if (zoneRound_.phase() == Phase::Collecting && zoneRound_.isComplete(now)) {
        closeZoneRound(targets, now, outbox);
    }
    // Step 3. Answer once the replies are there.
    const bool answered = !targets_.awaitsReply(zoneRound_.closedAt()) && !awaitsSeedRound(now);
    if (zoneRound_.phase() == Phase::Waiting && (answered || now >= zoneRound_.answerAt())) {
        answer(zoneRound_, true, now, outbox);
    } else if (zoneRound_.phase() == Phase::Idle && zoneRound_.hasWaiting()) {
        answer(zoneRound_, false, now, outbox);
    }
}

// Usually the first reader finds no collector, as no host ranks before it; if it has stopped or is of an earlier release, the first of the
// hosts after it that know this. A host of low rank stays silent, else all hosts of a zone that it can't reach would tell the seeds. It
// also tells its own reporters no sum of the zone, as that would lack most hosts and make their shares too large.
void DemandExchange::closeZoneRound(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox)
{
    // A host that reports to this reader is no collector for it, whatever the ranks: it does not read the platform.
    auto collectors = targets.collectors;
    if (targets.reader) {
        std::erase_if(collectors, [this](HostId host) { return zoneRound_.contains(host); });
    }
    const auto choice = targets_.choose(collectors, 1, now);
    collectsZone_ = choice.replying.empty() && targets.ranked;
    zoneRound_.close(now + (collectsZone_ ? kSeedWait : kCollectorWait), now);
    for (const auto *hosts : {&choice.replying, &choice.retried}) {
        for (const auto host : *hosts) {
            reportTo(host, now, outbox);
        }
    }
    if (collectsZone_) {
        tellSeeds(targets, now, outbox);
    }
}

// A host is not told what it told: two hosts that take each other for a collector don't pass reports to and fro. In a longer circle they
// end by their age.
void DemandExchange::reportTo(HostId collector, Time now, Outbox<DemandMessage> &outbox)
{
    DemandReport report;
    report.services = servicesByDemand();
    report.intervalMs = zoneRound_.empty() ? 0 : toMs(std::max(needed_, zoneRound_.intervalOfReporters()));
    const auto fill = [&] {
        report.hosts.clear();
        for (const auto &[host, record] : table_.hosts()) {
            if (record.toldBy == collector || report.hosts.size() == kMaxReportedHosts) {
                continue;
            }
            HostDemand demand{host == options_.self ? HostId{} : host, toMs(now - record.measuredAt), {}};
            for (const auto &service : report.services) {
                const auto found = record.demands.find(service);
                demand.hundredths.push_back(found == record.demands.end() ? 0 : toHundredths(found->second));
            }
            const bool told = std::any_of(demand.hundredths.begin(), demand.hundredths.end(), [](auto value) { return value > 0; });
            if (told) {
                report.hosts.push_back(std::move(demand));
            }
        }
    };
    fill();
    while (encodedBytes(report) > kMaxDemandBytes && report.services.size() > 1) {
        report.services.pop_back();
        fill();
    }
    while (encodedBytes(report) > kMaxDemandBytes) {
        report.hosts.pop_back();
    }
    if (!report.hosts.empty()) {
        send(collector, std::move(report), now, outbox);
    }
}

void DemandExchange::tellSeeds(const DemandTargets &targets, Time now, Outbox<DemandMessage> &outbox)
{
    DemandReport report;
    report.services = servicesByDemand();
    report.intervalMs = toMs(std::max(needed_, zoneRound_.intervalOfReporters()));
    report.zones = {zoneSumsOf(options_.zone.name, table_.sumOfHosts(), report.services, now)};
    while (encodedBytes(report) > kMaxDemandBytes && report.services.size() > 1) {
        report.services.pop_back();
        report.zones = {zoneSumsOf(options_.zone.name, table_.sumOfHosts(), report.services, now)};
    }
    auto seeds = rankHosts(kSeedRankKey, std::span<const HostId>(targets.seeds), targets.seeds.size());
    std::erase(seeds, options_.self);
    const auto choice = targets_.choose(seeds, kSeedsTold, now);
    for (const auto *hosts : {&choice.replying, &choice.retried}) {
        for (const auto seed : *hosts) {
            send(seed, report, now, outbox);
        }
    }
}

void DemandExchange::runSeedRound(Time now, Outbox<DemandMessage> &outbox)
{
    if (seedRound_.phase() == Phase::Collecting && seedRound_.isComplete(now)) {
        seedRound_.close(now, now);
        answer(seedRound_, true, now, outbox);
    } else if (seedRound_.phase() == Phase::Idle && seedRound_.hasWaiting()) {
        answer(seedRound_, false, now, outbox);
    }
}

// Each reply has the services of its report. Zones that exceed a datagram are left out.
void DemandExchange::answer(ReportRound &round, bool finish, Time now, Outbox<DemandMessage> &outbox)
{
    const auto zones = knownZones();
    std::vector<std::pair<HostId, DemandReply>> replies;
    for (const auto &waiting : round.takeWaiting()) {
        DemandReply reply{waiting.number, toMs(now - waiting.receivedAt), toMs(kMaxReportInterval), {}};
        for (const auto &[zone, record] : zones) {
            if (zone != waiting.zone) {
                reply.zones.push_back(zoneSumsOf(zone, record, waiting.services, now));
            }
        }
        std::erase_if(reply.zones, [](const ZoneSums &sums) {
            return std::all_of(sums.hosts.begin(), sums.hosts.end(), [](auto count) { return count == 0; });
        });
        while (encodedBytes(reply) > kMaxDemandBytes) {
            reply.zones.pop_back();
        }
        charge(round, encodedBytes(reply));
        replies.emplace_back(waiting.from, std::move(reply));
    }
    if (finish) {
        round.endBytes();
        needed_ = neededInterval(now);
        round.finish(nextRoundAt(round, now));
    }
    for (auto &[to, reply] : replies) {
        reply.nextMs = toMs(std::max(round.nextAt() - now, kMinReportInterval / 2));
        outbox.push_back({to, std::move(reply)});
    }
}

void DemandExchange::charge(ReportRound &round, std::size_t bytes)
{
    round.charge(bytes + kDemandEnvelopeBytes);
    byteBudget_ -= static_cast<double>(bytes + kDemandEnvelopeBytes);
}

void DemandExchange::refill(Time now)
{
    const std::chrono::duration<double> elapsed = now - refilledAt_;
    byteBudget_ = std::clamp(byteBudget_ + elapsed.count() * kExchangeBytesPerSecond, -kExchangeBurstBytes, kExchangeBurstBytes);
    refilledAt_ = now;
}

// Rounds keep the time that the hosts above told, which wait for the slowest of their reporters, this host included. So all hosts report in
// the same moment; one that is out of step joins by a shorter interval, and the next one is longer for that.
Time DemandExchange::nextRoundAt(const ReportRound &round, Time now)
{
    const auto ownAt = round.closedAt() + std::max(needed_, round.intervalOfReporters());
    if (&round == &seedRound_) {
        return ownAt;
    }
    const auto toldAt = sumsOwnZone() ? std::max(upstreamNextAt_, seedRound_.nextAt()) : upstreamNextAt_;
    // This host's reporters come shortly before its own report is due.
    const auto inStep = toldAt - (round.empty() ? Duration{} : kCollectTime);
    const std::chrono::duration<double> usual{static_cast<double>(zoneRound_.usualBytes() + seedRound_.usualBytes())
                                              / kExchangeBytesPerSecond};
    const bool joins = toldAt > now && usual <= kMaxReporterInterval;
    const auto nextAt = joins ? inStep : ownAt;
    interval_ = nextAt - round.closedAt();
    return nextAt;
}

// Until the budget allows as many bytes as the last rounds took.
Duration DemandExchange::neededInterval(Time now) const
{
    const auto bytes = static_cast<double>(zoneRound_.lastBytes(now) + seedRound_.lastBytes(now));
    const std::chrono::duration<double> needed{(bytes - std::max(byteBudget_, -kMaxDebt * bytes)) / kExchangeBytesPerSecond};
    return std::clamp(std::chrono::duration_cast<Duration>(needed), kMinReportInterval, kMaxReportInterval);
}

bool DemandExchange::sumsOwnZone() const
{
    return collectsZone_ && (near_ || !zoneRound_.empty());
}

// A seed that is a reader takes part in its own round without messages.
bool DemandExchange::awaitsSeedRound(Time now) const
{
    return collectsZone_ && !seedRound_.empty() && now < seedRound_.nextAt() + kSeedWait
           && seedRound_.closedAt() + kCollectTime < zoneRound_.closedAt();
}

std::map<std::string, ZoneSumRecord> DemandExchange::knownZones() const
{
    auto zones = table_.bestZones();
    if (sumsOwnZone() && !table_.hosts().empty()) {
        zones[options_.zone.name] = table_.sumOfHosts();
    }
    return zones;
}

std::vector<std::string> DemandExchange::servicesByDemand() const
{
    auto services = ownServices_;
    if (!near_) {
        services.clear();
    }
    std::vector<std::pair<double, std::string>> others;
    for (const auto &[service, sum] : table_.sumOfHosts().sums) {
        if (std::find(services.begin(), services.end(), service) == services.end()) {
            others.emplace_back(-sum.requests, service);
        }
    }
    std::sort(others.begin(), others.end());
    for (const auto &[demand, service] : others) {
        services.push_back(service);
    }
    services.resize(std::min(services.size(), kMaxReportedServices));
    return services;
}

void DemandExchange::send(HostId to, DemandReport report, Time now, Outbox<DemandMessage> &outbox)
{
    report.number = ++number_;
    charge(zoneRound_, encodedBytes(report));
    targets_.recordSent(to, SentReport{report.number, now, report.services});
    outbox.push_back({to, std::move(report)});
}

Time DemandExchange::firstDue(Time now) const
{
    auto due = std::min(now + kIdlePoll, targets_.nextExpiry());
    for (const auto *round : {&zoneRound_, &seedRound_}) {
        if (round->phase() == Phase::Collecting) {
            due = std::min(due, round->closesAt());
        } else if (round->phase() == Phase::Waiting) {
            due = std::min(due, round->answerAt());
        }
    }
    if (zoneRound_.phase() == Phase::Idle && near_) {
        due = std::min(due, std::max(zoneRound_.nextAt(), upstreamNextAt_));
    }
    return std::max(due, now + kMinTickInterval);
}

std::vector<ZoneDemand> DemandExchange::fleetDemand(Time now) const
{
    std::vector<ZoneDemand> demands;
    for (const auto &[zone, record] : knownZones()) {
        if (now - record.measuredAt >= kDemandLifetime) {
            continue;
        }
        for (const auto &[service, sum] : record.sums) {
            demands.push_back({service, AvailabilityZone{zone}, sum.requests, sum.hosts, record.measuredAt});
        }
    }
    return demands;
}

} // namespace medlarway
