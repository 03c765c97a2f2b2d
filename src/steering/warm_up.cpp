#include "steering/warm_up.h"

#include "base/hash.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace medlarway
{

namespace
{

// Hosts that each may consider themselves chosen at the same time without exceeding the limit together: the right one, one that does not
// yet know it, and one that does not know of either's end or return.
constexpr double kHostsWithinLimit = 3;

} // namespace

std::uint32_t hostSynLimit(double perSecond, const WarmUpTolerance &tolerance)
{
    const double share = std::floor((perSecond * tolerance.overage + tolerance.slack) / kHostsWithinLimit);
    if (!(share >= 1)) {
        return 0;
    }
    return static_cast<std::uint32_t>(std::clamp<double>(std::floor(std::min(perSecond, share)), 1, kMaxHostSyns));
}

// The start is part of the key, so that an upstream that restarts again and again does not depend on one host.
std::optional<HostId> chosenHost(std::string_view upstreamId, std::uint64_t startMs, std::span<const HostId> hosts)
{
    const auto key = combineHash(hashBytes(upstreamId), startMs);
    const auto weight = [key](HostId host) { return std::pair(combineHash(key, host.value), host); };
    const auto best = std::max_element(hosts.begin(), hosts.end(), [&](HostId a, HostId b) { return weight(a) < weight(b); });
    return best == hosts.end() ? std::nullopt : std::optional(*best);
}

void SynWindow::reserve(std::size_t count)
{
    if (count <= times_.size()) {
        return;
    }
    std::rotate(times_.begin(), times_.begin() + static_cast<std::ptrdiff_t>(next_), times_.end());
    times_.insert(times_.begin(), count - times_.size(), Time::min());
    next_ = 0;
}

bool SynWindow::hasCapacity(std::size_t limit, Time now) const
{
    if (limit == 0 || limit > times_.size()) {
        return false;
    }
    return times_[(next_ + times_.size() - limit) % times_.size()] + kSynWindow < now;
}

void SynWindow::record(Time now)
{
    if (!times_.empty()) {
        times_[next_] = now;
        next_ = (next_ + 1) % times_.size();
    }
}

WarmUpLimits::WarmUpLimits(std::span<const ServiceWarmUp> services, const std::optional<WarmUpTolerance> &tolerance)
{
    if (!tolerance) {
        return;
    }
    for (const auto &service : services) {
        if (service.perSecond > 0) {
            byService_[service.service] = {hostSynLimit(service.perSecond, *tolerance), service.duration};
        }
    }
}

const WarmUpLimits::Limit *WarmUpLimits::find(const std::string &service) const
{
    const auto found = byService_.find(service);
    return found == byService_.end() ? nullptr : &found->second;
}

} // namespace medlarway
