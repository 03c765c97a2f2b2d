#pragma once

#include "base/host.h"
#include "base/time.h"
#include "steering/route_table.h"

#include <boost/unordered/unordered_flat_map.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace medlarway
{

/// By how much the SYNs of all hosts may exceed what an upstream can handle while it warms up: in any second at most
/// per-second x overage + slack.
struct WarmUpTolerance {
    double overage = 1;
    double slack = 0;

    friend bool operator==(const WarmUpTolerance &, const WarmUpTolerance &) = default;
};

/// What this host knows of the hosts of its availability zone.
struct ZoneView {
    HostId self;
    std::vector<HostId> hosts; ///< those among which the one that uses an upstream is chosen, with this host if it is among them
    Time trustedUntil; ///< until when the view counts as right; Time{} if it does not
    Time endsUnknownUntil{}; ///< until when self may not know of an evacuation that ended while it did not run

    friend bool operator==(const ZoneView &, const ZoneView &) = default;
};

/// The most SYNs that one host may send to an upstream in any second while it warms up; 0 if the tolerance leaves no room for a host.
std::uint32_t hostSynLimit(double perSecond, const WarmUpTolerance &tolerance);

/// The host of the view that uses the upstream while it warms up; nullopt if the view has no hosts.
std::optional<HostId> chosenHost(std::string_view upstreamId, std::uint64_t startMs, std::span<const HostId> hosts);

/// The length of the sliding window in which SYNs are counted.
inline constexpr Duration kSynWindow = std::chrono::seconds{1};

/// Highest limit of one host, which bounds the memory of a window to 4 KiB.
inline constexpr std::uint32_t kMaxHostSyns = 512;

/// The times of the last SYNs that were sent to an upstream. Not thread-safe.
class SynWindow
{
public:
    /// Allocates room for this many SYNs if there is less, and keeps those recorded.
    void reserve(std::size_t count);

    /// Whether fewer than limit SYNs were recorded in the last kSynWindow; false if the limit exceeds the reserved count.
    bool hasCapacity(std::size_t limit, Time now) const;

    /// Records a SYN; without a reserved count it is lost.
    void record(Time now);

private:
    std::vector<Time> times_; ///< a ring; Time::min() if unused
    std::size_t next_ = 0; ///< the oldest, which is overwritten next
};

/// Limit of the SYNs to one upstream while it warms up.
struct WarmUpLimit {
    std::optional<std::uint32_t> synLimit; ///< see hostSynLimit(); nullopt: its service has no limit
    Time usableUntil; ///< until when this host is the one that uses the upstream; Time{} if it is not
    Time zoneReturnUntil; ///< end of the warm-up that followed the end of an evacuation
    Time unusedUntil; ///< see UpstreamDirectory::setEndsUnknownUntil()
    bool active = false; ///< it was warming up under a limit at the last update
    SynWindow syns;
};

/// The limits of the services with one.
class WarmUpLimits
{
public:
    struct Limit {
        std::uint32_t syns = 0; ///< see hostSynLimit()
        Duration duration{}; ///< of a warm-up
    };

    WarmUpLimits() = default;

    /// Without a tolerance no service has a limit.
    WarmUpLimits(std::span<const ServiceWarmUp> services, const std::optional<WarmUpTolerance> &tolerance);

    /// The limit of the service; nullptr if it has none.
    const Limit *find(const std::string &service) const;

private:
    boost::unordered_flat_map<std::string, Limit> byService_;
};

} // namespace medlarway
