#pragma once

#include "base/host.h"
#include "catalogue/service.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway::model
{

/// The kinds of faults and changes that a run can contain.
enum class FaultKind : std::uint8_t {
    UpstreamDown, ///< the upstream refuses connections and loses its running requests
    UpstreamDrains, ///< the catalogue marks the upstream as draining
    UpstreamSheds, ///< the upstream responds 503 with Retry-After even if slots are free
    UpstreamCold, ///< the upstream's next requests take longer, as after a start
    ReportsWrong, ///< the upstream's health endpoint reports the opposite of its state
    ZoneCut, ///< the zone is partitioned from the others
    HostDown, ///< the host fails for the rest of the run; the others get a new view after a delay
};

/// A fault that lasts from `start`, counted from the start of the run, for `duration`.
struct Fault {
    FaultKind kind = FaultKind::UpstreamDown;
    std::size_t target = 0; ///< index of the upstream, zone or host in the scenario
    Duration start{};
    Duration duration{};
};

/// The mix of short and long requests. Service times are those of a warm upstream.
struct Workload {
    double longRequestShare = 0.06; ///< fraction of requests to long paths
    double unexpectedLongShare = 0.005; ///< fraction of the requests to short paths that are long nevertheless
    Duration shortMean = std::chrono::milliseconds{60};
    Duration longMin = std::chrono::milliseconds{800};
    Duration longMax = std::chrono::seconds{12};
    double longParetoShape = 1.4; ///< shape parameter of the Pareto distribution of long service times
    Duration shortDeadline = std::chrono::seconds{2};
    Duration longDeadline = std::chrono::seconds{20};
    std::uint64_t shortPaths = 20;
    std::uint64_t longPaths = 4;
    std::uint64_t callers = 40;
};

/// The description of a run: hosts, upstreams, load over time and faults.
struct Scenario {
    std::string name;
    Service service;
    std::vector<Member> hosts;
    std::vector<AvailabilityZone> zones;
    Duration crossZoneDelay{}; ///< one-way delay between two zones
    Duration sameZoneDelay = std::chrono::microseconds{100}; ///< one-way delay within a zone
    Workload workload;
    double baseLoad = 0.5; ///< offered load outside the peak, as a fraction of all slots
    double peakFactor = 3.0; ///< load at the peak as a multiple of baseLoad
    Duration warmUp = std::chrono::seconds{4}; ///< requests arriving before are not measured
    Duration peakStart = std::chrono::seconds{6};
    Duration peakDuration = std::chrono::seconds{4};
    Duration rampTime = std::chrono::milliseconds{500}; ///< time the load takes to rise from base to peak, and to fall again
    Duration end = std::chrono::seconds{20}; ///< no requests arrive after
    Duration maxViewDelay = std::chrono::seconds{2}; ///< longest delay from a host's failure to the new view of another host
    std::vector<Fault> faults;
};

/// The Trust's registry: 3 zones 1.5 ms apart, 14 endpoints, 5 hosts.
Scenario trustRegistry();

/// The Trust's seam gallery: as the registry, with 4 endpoints.
Scenario trustGallery();

/// Veerwerk's quote engine: 4 zones 0.5 ms apart, 14 endpoints, 4 hosts.
Scenario veerwerkQuotes();

/// Veerwerk's drawing store: as the quote engine, with 4 endpoints and 5 hosts.
Scenario veerwerkDrawings();

/// The four scenarios above with common faults: a cold start, wrong health reports, a drain and a crash.
std::vector<Scenario> standardScenarios();

/// Creates a scenario of the given size with hosts and upstreams assigned to the zones in turn.
Scenario makeScenario(const std::string &name, std::size_t zones, std::size_t hosts, std::size_t upstreams, Duration crossZoneDelay);

/// The view with the hosts of the scenario whose entry in `alive` is true.
View viewOf(const Scenario &scenario, const std::vector<bool> &alive, std::uint64_t number);

/// The one-way delay of a message between two zones.
Duration oneWayDelay(const Scenario &scenario, const AvailabilityZone &from, const AvailabilityZone &to);

} // namespace medlarway::model
