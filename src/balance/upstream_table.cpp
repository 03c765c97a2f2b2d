#include "balance/upstream_table.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <numeric>

namespace medlarway
{

// States are kept across versions of the catalogue, so that a change of limits or of another
// upstream loses nothing that was learned.
void UpstreamTable::setService(const Service &service, HostId self)
{
    const bool first = upstreams_.empty();
    std::vector<UpstreamState> next;
    next.reserve(service.upstreams.size());
    for (const Upstream &upstream : service.upstreams) {
        UpstreamState *known = find(upstream.address);
        if (known != nullptr) {
            next.push_back(std::move(*known));
            known->listed = false;
            known->running = 0;
            known->connections = 0;
        } else {
            next.push_back(UpstreamState{});
            next.back().warmAnswers = first ? kWarmAnswers : 0;
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

std::size_t UpstreamTable::listed() const
{
    return static_cast<std::size_t>(
        std::count_if(upstreams_.begin(), upstreams_.end(), [](const UpstreamState &state) { return state.listed; }));
}

std::size_t UpstreamTable::ejected(Time now) const
{
    return static_cast<std::size_t>(std::count_if(
        upstreams_.begin(), upstreams_.end(), [now](const UpstreamState &state) { return state.listed && isEjected(state.outlier, now); }));
}

void UpstreamTable::forgetUnused()
{
    std::erase_if(upstreams_, [](const UpstreamState &state) { return !state.listed && state.running == 0 && state.connections == 0; });
}

bool takesWork(const UpstreamState &state, Time now)
{
    if (!state.listed || state.upstream.draining || isEjected(state.outlier, now)) {
        return false;
    }
    return !state.shedUntil || now >= *state.shedUntil;
}

std::uint32_t allowedNow(const UpstreamState &state, std::uint32_t limit, Time now)
{
    const bool cold = state.warmAnswers < kWarmAnswers || isProbing(state.outlier, now);
    return cold ? std::min<std::uint32_t>(limit, 1) : limit;
}

// Reports lag and mislead, so one counts only for what own requests have not contradicted.
bool unhealthyByReport(const UpstreamState &state, Time now)
{
    constexpr Duration kReportLife = std::chrono::seconds{5};
    if (!state.reportedUnhealthy || now - state.reportedAt > kReportLife) {
        return false;
    }
    return !state.outlier.lastAnswer || now - *state.outlier.lastAnswer > kReportLife;
}

std::uint32_t peersRunning(const UpstreamState &state)
{
    return std::accumulate(state.peers.begin(), state.peers.end(), std::uint32_t{0},
                           [](std::uint32_t sum, const PeerRunning &peer) { return sum + peer.running; });
}

void noteBusy(UpstreamState &state, Duration busy, Time now)
{
    state.busy = recentBusy(state, now) + std::chrono::duration<double>(busy).count();
    state.busyAt = now;
}

double recentBusy(const UpstreamState &state, Time now)
{
    constexpr double kHalfLifeNs = 10e9;
    return state.busy * std::exp2(-static_cast<double>((now - state.busyAt).count()) / kHalfLifeNs);
}

} // namespace medlarway
