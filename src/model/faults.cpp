#include "model/simulation.h"

#include <algorithm>
#include <chrono>

namespace medlarway::model
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t kColdRequestsAfterStart = 6;
constexpr Duration kReportInterval = 1s;
constexpr Duration kReportDelay = 2s;
constexpr Duration kMaxCatalogueDelay = 800ms; ///< within this time of a change, every host has received it

} // namespace

void Simulation::scheduleFaults()
{
    for (const Fault &fault : scenario_.faults) {
        clock_.at(Time{} + fault.start, [this, fault] { beginFault(fault); });
        clock_.at(Time{} + fault.start + fault.duration, [this, fault] { endFault(fault); });
    }
}

void Simulation::beginFault(const Fault &fault)
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
        upstreams_[fault.target].coldRequests = kColdRequestsAfterStart;
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

void Simulation::endFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::UpstreamDown:
        upstreams_[fault.target].down = false;
        upstreams_[fault.target].coldRequests = kColdRequestsAfterStart;
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
        runOmniscient();
    }
}

// Running requests are lost at once; the hosts see the connections reset after the network delay.
void Simulation::crashUpstream(std::size_t upstream)
{
    upstreams_[upstream].down = true;
    for (std::size_t i = 0; i < attempts_.size(); ++i) {
        const Attempt attempt = attempts_[i];
        if (attempt.id == 0 || !attempt.atUpstream || attempt.upstream != upstream) {
            continue;
        }
        if (!upstreams_[upstream].finish(attempt.id, clock_.now())) {
            continue;
        }
        clock_.after(delayTo(records_[i].arrival.host, upstream),
                     [this, i, attempt] { finishAttempt(i, attempt.id, AttemptResult::Lost, {}); });
    }
}

// All open requests of the host end with it; the upstreams see their connections closed and stop running them.
void Simulation::killHost(std::size_t host)
{
    hosts_[host].alive = false;
    hosts_[host].failedAt = clock_.now();
    for (std::size_t i = 0; i < records_.size(); ++i) {
        const RequestRecord &record = records_[i];
        if (record.result != RequestResult::Pending || record.arrival.host != host || record.arrival.at > clock_.now()) {
            continue;
        }
        upstreams_[attempts_[i].upstream].finish(attempts_[i].id, clock_.now());
        omniscient_.cancel(i);
        omniscient_.release(i);
        attempts_[i] = Attempt{};
        recordResult(i, RequestResult::HostLost, std::nullopt);
    }
    publishViews();
}

// A change reaches each host after a delay of its own.
void Simulation::publishService()
{
    Service service = scenario_.service;
    for (std::size_t i = 0; i < draining_.size(); ++i) {
        service.upstreams[i].draining = draining_[i];
    }
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const Duration delay{random_.below(static_cast<std::uint64_t>(kMaxCatalogueDelay.count()))};
        clock_.after(delay, [this, host, service] {
            Decisions decisions;
            hosts_[host].dispatcher->setService(service, clock_.now(), decisions);
            apply(host, decisions);
        });
    }
}

// The first view reaches the hosts at once, later ones reach each host after a delay of its own.
void Simulation::publishViews()
{
    std::vector<bool> alive;
    alive.reserve(hosts_.size());
    for (const Host &host : hosts_) {
        alive.push_back(host.alive);
    }
    const View view = viewOf(scenario_, alive, viewNumber_++);
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
        const bool first = view.number == 1;
        const Duration minDelay = first ? Duration{} : scenario_.maxViewDelay / 2;
        const Duration delay = first ? Duration{} : minDelay + Duration{random_.below(static_cast<std::uint64_t>(minDelay.count()))};
        clock_.after(delay, [this, host, view] {
            if (!hosts_[host].alive) {
                return;
            }
            Decisions decisions;
            hosts_[host].dispatcher->setView(view, clock_.now(), decisions);
            apply(host, decisions);
        });
    }
}

void Simulation::pollReports()
{
    for (std::size_t i = 0; i < upstreams_.size(); ++i) {
        const bool healthy = !upstreams_[i].down != reportsWrong_[i];
        clock_.after(kReportDelay, [this, i, healthy] {
            for (Host &host : hosts_) {
                host.dispatcher->reportHealth(scenario_.service.upstreams[i].address, healthy, clock_.now());
            }
        });
    }
    if (clock_.now() < Time{} + scenario_.end) {
        clock_.after(kReportInterval, [this] { pollReports(); });
    }
}

} // namespace medlarway::model
