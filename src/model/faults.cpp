#include "model/fleet.h"

#include <algorithm>
#include <chrono>

namespace medlarway::model
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t kColdAfterStart = 6;
constexpr Duration kReportPeriod = 1s;
constexpr Duration kReportLag = 2s;
constexpr Duration kCatalogueLag = 800ms; ///< from a change to the last host's having it

} // namespace

void Fleet::scheduleFaults()
{
    for (const Fault &fault : scenario_.faults) {
        clock_.at(Time{} + fault.at, [this, fault] { beginFault(fault); });
        clock_.at(Time{} + fault.at + fault.span, [this, fault] { endFault(fault); });
    }
}

void Fleet::beginFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::UpstreamDown:
        crashUpstream(fault.target);
        break;
    case FaultKind::UpstreamDrains:
        draining_[fault.target] = true;
        drainedAt_[fault.target] = clock_.now();
        publishService();
        break;
    case FaultKind::UpstreamSheds:
        upstreams_[fault.target].shedding = true;
        break;
    case FaultKind::UpstreamCold:
        upstreams_[fault.target].coldRequests = kColdAfterStart;
        break;
    case FaultKind::ReportsWrong:
        reportsWrong_[fault.target] = true;
        break;
    case FaultKind::ZoneCut:
        zoneCut_[fault.target] = true;
        break;
    case FaultKind::HostDown:
        killHost(fault.target);
        break;
    }
}

void Fleet::endFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::UpstreamDown:
        upstreams_[fault.target].down = false;
        upstreams_[fault.target].coldRequests = kColdAfterStart;
        break;
    case FaultKind::UpstreamDrains:
        draining_[fault.target] = false;
        publishService();
        break;
    case FaultKind::UpstreamSheds:
        upstreams_[fault.target].shedding = false;
        break;
    case FaultKind::UpstreamCold:
    case FaultKind::HostDown:
        break;
    case FaultKind::ReportsWrong:
        reportsWrong_[fault.target] = false;
        break;
    case FaultKind::ZoneCut:
        zoneCut_[fault.target] = false;
        break;
    }
    if (policy_.omniscient) {
        pumpOmniscient();
    }
}

// What runs is lost at once; the hosts see the connections reset a moment later.
void Fleet::crashUpstream(std::size_t upstream)
{
    upstreams_[upstream].down = true;
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        const Attempt attempt = attempts_[i];
        if (attempt.id == 0 || !attempt.atUpstream || attempt.upstream != upstream) {
            continue;
        }
        if (!upstreams_[upstream].end(attempt.id, clock_.now())) {
            continue;
        }
        clock_.after(distanceTo(records_[i].arrival.host, upstream),
                     [this, i, attempt] { finish(i, attempt.id, AttemptResult::Lost, {}); });
    }
}

// All that is open on the host ends with it; its upstreams see the connections closed and stop.
void Fleet::killHost(std::size_t host)
{
    hosts_[host].alive = false;
    hosts_[host].diedAt = clock_.now();
    for (std::size_t i = 0; i < records_.size(); ++i) {
        const Record &record = records_[i];
        if (record.end != End::Open || record.arrival.host != host || record.arrival.at > clock_.now()) {
            continue;
        }
        upstreams_[attempts_[i].upstream].end(attempts_[i].id, clock_.now());
        omniscient_.cancel(i);
        omniscient_.release(i);
        attempts_[i] = Attempt{};
        end(i, End::HostLost, std::nullopt);
    }
    publishViews();
}

// A change reaches each host at a time of its own.
void Fleet::publishService()
{
    Service service = scenario_.service;
    for (std::size_t i = 0; i < draining_.size(); ++i) {
        service.upstreams[i].draining = draining_[i];
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const Duration lag{random_.below(static_cast<std::uint64_t>(kCatalogueLag.count()))};
        clock_.after(lag, [this, host, service] {
            Decisions decisions;
            hosts_[host].dispatcher->setService(service, clock_.now(), decisions);
            apply(host, decisions);
        });
    }
}

// The first view is there from the start; later ones reach each host at a time of its own.
void Fleet::publishViews()
{
    std::vector<bool> alive;
    alive.reserve(hosts_.size());
    for (const Host &host : hosts_) {
        alive.push_back(host.alive);
    }
    const View view = viewOf(scenario_, alive, viewNumber_++);
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const bool first = view.number == 1;
        const Duration least = first ? Duration{} : scenario_.viewLag / 2;
        const Duration lag = first ? Duration{} : least + Duration{random_.below(static_cast<std::uint64_t>(least.count()))};
        clock_.after(lag, [this, host, view] {
            if (!hosts_[host].alive) {
                return;
            }
            Decisions decisions;
            hosts_[host].dispatcher->setView(view, clock_.now(), decisions);
            apply(host, decisions);
        });
    }
}

void Fleet::pollReports()
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        const bool healthy = !upstreams_[i].down != reportsWrong_[i];
        clock_.after(kReportLag, [this, i, healthy] {
            for (Host &host : hosts_) {
                host.dispatcher->reportHealth(scenario_.service.upstreams[i].address, healthy, clock_.now());
            }
        });
    }
    if (clock_.now() < Time{} + scenario_.end) {
        clock_.after(kReportPeriod, [this] { pollReports(); });
    }
}

} // namespace medlarway::model
