#pragma once

#include "base/host.h"
#include "catalogue/service.h"

#include <cstdint>
#include <string>
#include <vector>

namespace medlarway::model
{

/// What goes wrong, or changes, in a run.
enum class FaultKind : std::uint8_t {
    UpstreamDown, ///< refuses connections, loses what runs
    UpstreamDrains, ///< the catalogue marks it draining
    UpstreamSheds, ///< answers 503 with Retry-After whatever its slots
    UpstreamCold, ///< its first requests take longer, as after a start
    ReportsWrong, ///< its health endpoint says the opposite of the truth
    ZoneCut, ///< a zone can't be reached from the others
    HostDown, ///< a host dies; the others learn of it late
};

/// One fault, from `at` for `span`.
struct Fault {
    FaultKind kind = FaultKind::UpstreamDown;
    std::size_t target = 0; ///< upstream, zone or host, by its place in the scenario
    Duration at{};
    Duration span{};
};

/// The mix of short and long work. Times are those of a warm upstream.
struct WorkMix {
    double longShare = 0.06; ///< of requests on the long paths
    double surpriseShare = 0.005; ///< of requests on short paths that turn out long
    Duration shortMean = std::chrono::milliseconds{60};
    Duration longLeast = std::chrono::milliseconds{800};
    Duration longMost = std::chrono::seconds{12};
    double longShape = 1.4; ///< of the Pareto law
    Duration shortDeadline = std::chrono::seconds{2};
    Duration longDeadline = std::chrono::seconds{20};
    std::uint64_t shortPaths = 20;
    std::uint64_t longPaths = 4;
    std::uint64_t callers = 40;
};

/// A whole run: who takes part, how much comes in when, and what fails.
struct Scenario {
    std::string name;
    Service service;
    std::vector<Member> hosts;
    std::vector<AvailabilityZone> zones;
    Duration zoneDistance{}; ///< one way between two zones
    Duration nearDistance = std::chrono::microseconds{100}; ///< one way within a zone
    WorkMix work;
    double baseLoad = 0.5; ///< share of all slots that the offered work keeps busy
    double crestFactor = 3.0;
    Duration warmUp = std::chrono::seconds{4}; ///< at base load, nothing measured
    Duration crestAt = std::chrono::seconds{6};
    Duration crestSpan = std::chrono::seconds{4};
    Duration rise = std::chrono::milliseconds{500}; ///< from base load to the crest and back
    Duration end = std::chrono::seconds{20}; ///< of the arrivals
    Duration viewLag = std::chrono::seconds{2}; ///< from a host's death to the others' new view, at most
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

/// The four above, with the ordinary faults: a cold start, wrong reports, a drain, a death.
std::vector<Scenario> committedScenarios();

/// A scenario of any size: hosts and upstreams are dealt to the zones in turn.
Scenario sizedScenario(const std::string &name, std::size_t zones, std::size_t hosts, std::size_t upstreams, Duration zoneDistance);

/// The view that contains the hosts listed, by their places in the scenario.
View viewOf(const Scenario &scenario, const std::vector<bool> &alive, std::uint64_t number);

/// How long a message takes between two zones.
Duration distance(const Scenario &scenario, const AvailabilityZone &from, const AvailabilityZone &to);

} // namespace medlarway::model
