#include "model/scenario.h"

#include <chrono>

namespace medlarway::model
{

namespace
{

using namespace std::chrono_literals;

constexpr std::uint32_t kHostBase = 0x0a000001; // 10.0.0.1
constexpr std::uint32_t kUpstreamBase = 0x0a010001; // 10.1.0.1
constexpr std::uint16_t kPort = 9000;

// Every run contains faults that are common in operation: an upstream that has just started, one that drains if there
// are enough, two whose health endpoints report the opposite of the truth, and one that crashes at the peak.
void addOrdinaryFaults(Scenario &scenario)
{
    const std::size_t last = scenario.service.upstreams.size() - 1;
    scenario.faults = {
        {FaultKind::ReportsWrong, 0, 0s, scenario.end},
        {FaultKind::ReportsWrong, last, 0s, scenario.end},
        {FaultKind::UpstreamCold, 1, scenario.peakStart + 500ms, 1s},
        {FaultKind::UpstreamDown, last, scenario.peakStart + 1500ms, 2s},
    };
    if (last >= 8) {
        scenario.faults.push_back({FaultKind::UpstreamDrains, 5, scenario.peakStart + 1s, 3s});
    }
}

} // namespace

Scenario makeScenario(const std::string &name, std::size_t zones, std::size_t hosts, std::size_t upstreams, Duration crossZoneDelay)
{
    Scenario scenario;
    scenario.name = name;
    scenario.crossZoneDelay = crossZoneDelay;
    scenario.service.name = name;
    scenario.service.serviceClass = ServiceClass::Idempotent;
    for (std::size_t i = 0; i < zones; ++i) {
        scenario.zones.push_back({"zone" + std::to_string(i + 1)});
    }
    for (std::size_t i = 0; i < hosts; ++i) {
        const Endpoint address{kHostBase + static_cast<std::uint32_t>(i), kPort};
        scenario.hosts.push_back({hostIdOf(address), scenario.zones[i % zones], HostState::Alive, 1});
    }
    for (std::size_t i = 0; i < upstreams; ++i) {
        const Endpoint address{kUpstreamBase + static_cast<std::uint32_t>(i), kPort};
        scenario.service.upstreams.push_back({address, scenario.zones[i % zones], false});
    }
    return scenario;
}

Scenario trustRegistry()
{
    return makeScenario("trust-registry", 3, 5, 14, 1500us);
}

Scenario trustGallery()
{
    return makeScenario("trust-gallery", 3, 5, 4, 1500us);
}

Scenario veerwerkQuotes()
{
    return makeScenario("veerwerk-quotes", 4, 4, 14, 500us);
}

Scenario veerwerkDrawings()
{
    return makeScenario("veerwerk-drawings", 4, 5, 4, 500us);
}

std::vector<Scenario> standardScenarios()
{
    std::vector<Scenario> scenarios = {trustRegistry(), trustGallery(), veerwerkQuotes(), veerwerkDrawings()};
    for (Scenario &scenario : scenarios) {
        addOrdinaryFaults(scenario);
    }
    return scenarios;
}

View viewOf(const Scenario &scenario, const std::vector<bool> &alive, std::uint64_t number)
{
    View view{number, {}};
    for (std::size_t i = 0; i < scenario.hosts.size(); ++i) {
        if (alive[i]) {
            view.members.push_back(scenario.hosts[i]);
        }
    }
    return view;
}

Duration oneWayDelay(const Scenario &scenario, const AvailabilityZone &from, const AvailabilityZone &to)
{
    return from == to ? scenario.sameZoneDelay : scenario.crossZoneDelay;
}

} // namespace medlarway::model
