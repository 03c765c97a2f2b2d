#include "balance/upstream_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace medlarway
{

// The state of an upstream is kept across versions of the catalogue, so that a change of the limits or of another
// upstream does not reset its health, warm-up and load.
void UpstreamTable::setService(const Service &service, HostId self)
{
    const bool first = upstreams_.empty();
    std::vector<UpstreamState> next;
    next.reserve(service.upstreams.size());
    for (const Upstream &upstream : service.upstreams) {
        UpstreamState *existing = find(upstream.address);
        if (existing != nullptr) {
            next.push_back(std::move(*existing));
            existing->listed = false;
            existing->running = 0;
            existing->connections = 0;
        } else {
            next.push_back(UpstreamState{});
            next.back().warmUpResponses = first ? kWarmUpResponses : 0;
        }
        next.back().upstream = upstream;
        next.back().listed = true;
        if (next.back().slots.size() < service.limits.slotsPerUpstream || next.back().running == 0) {
            next.back().slots.resize(service.limits.slotsPerUpstream, Slot{.owner = self});
        }
    }
    for (UpstreamState &old : upstreams_) {
        if (old.running > 0 || old.connections > 0) {
            old.listed = false;
            next.push_back(std::move(old));
        }
    }
    upstreams_ = std::move(next);
}

UpstreamState *UpstreamTable::find(const Endpoint &endpoint)
{
    const auto found = std::find_if(upstreams_.begin(), upstreams_.end(),
                                    [&endpoint](const UpstreamState &state) { return state.upstream.address == endpoint; });
    return found == upstreams_.end() ? nullptr : &*found;
}

const UpstreamState *UpstreamTable::find(const Endpoint &endpoint) const
{
    const auto found = std::find_if(upstreams_.begin(), upstreams_.end(),
                                    [&endpoint](const UpstreamState &state) { return state.upstream.address == endpoint; });
    return found == upstreams_.end() ? nullptr : &*found;
}

std::size_t UpstreamTable::listedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [](const UpstreamState &state) { return state.listed; }));
}

std::size_t UpstreamTable::ejectedCount(Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        upstreams_.begin(), upstreams_.end(), [now](const UpstreamState &state) { return state.listed && isEjected(state.outlier, now); }));
}

void UpstreamTable::removeUnused()
{
    std::erase_if(upstreams_, [](const UpstreamState &state) { return !state.listed && state.running == 0 && state.connections == 0; });
}

bool acceptsRequests(const UpstreamState &state, Time now)
{
    if (!state.listed || state.upstream.draining || isEjected(state.outlier, now)) {
        return false;
    }
    return !state.shedUntil || now >= *state.shedUntil;
}

std::uint32_t concurrencyLimit(const UpstreamState &state, std::uint32_t limit, Time now)
{
    const bool cold = state.warmUpResponses < kWarmUpResponses || isProbing(state.outlier, now);
    return cold ? std::min<std::uint32_t>(limit, 1) : limit;
}

// Health checks lag and can be wrong, so the host's own recent successes override them.
bool isReportedUnhealthy(const UpstreamState &state, Time now)
{
    constexpr Duration kReportLifetime = std::chrono::seconds{5};
    if (!state.reportedUnhealthy || now - state.reportedAt > kReportLifetime) {
        return false;
    }
    return !state.outlier.lastSuccess || now - *state.outlier.lastSuccess > kReportLifetime;
}

std::uint32_t peersRunning(const UpstreamState &state)
{
    return std::accumulate(state.peerLoads.begin(), state.peerLoads.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const PeerLoad &peer) { return sum + peer.running; });
}

void addBusyTime(UpstreamState &state, Duration busy, Time now)
{
    state.busySeconds = recentBusySeconds(state, now) + std::chrono::duration<double>(busy).count();
    state.busyUpdatedAt = now;
}

double recentBusySeconds(const UpstreamState &state, Time now)
{
    constexpr double kHalfLifeNs = 10e9;
    return state.busySeconds * std::exp2(-static_cast<double>((now - state.busyUpdatedAt).count()) / kHalfLifeNs);
}

} // namespace medlarway
