#include "catalogue/service_hash.h"

#include "base/hash.h"

namespace medlarway
{

namespace
{

std::uint64_t endpointHash(const Endpoint &endpoint)
{
    return combineHash(endpoint.address, endpoint.port);
}

std::uint64_t durationHash(std::uint64_t hash, Duration duration)
{
    return combineHash(hash, static_cast<std::uint64_t>(duration.count()));
}

std::uint64_t limitsHash(const ServiceLimits &limits)
{
    auto hash = combineHash(limits.slotsPerUpstream, limits.connectionsPerUpstream);
    hash = combineHash(hash, limits.queueLength);
    hash = combineHash(hash, limits.requestBytes);
    hash = durationHash(hash, limits.defaultDeadline);
    hash = durationHash(hash, limits.longestDeadline);
    hash = durationHash(hash, limits.shortBound);
    hash = durationHash(hash, limits.idleTimeout);
    return durationHash(hash, limits.keyWindow);
}

} // namespace

std::uint64_t serviceHash(const Service &service)
{
    auto hash = combineHash(hashBytes(service.name), hashBytes(service.owner));
    hash = combineHash(hash, static_cast<std::uint64_t>(service.serviceClass));
    hash = combineHash(hash, static_cast<std::uint64_t>(service.kind));
    hash = combineHash(hash, endpointHash(service.address));
    for (const auto &upstream : service.upstreams) {
        hash = combineHash(hash, endpointHash(upstream.address));
        hash = combineHash(hash, hashBytes(upstream.zone.name));
        hash = combineHash(hash, upstream.draining ? 1 : 0);
    }
    return combineHash(hash, limitsHash(service.limits));
}

// Sums the hashes, since the order of the services may differ between hosts.
std::uint64_t contentHash(const std::vector<Service> &services, bool removed)
{
    std::uint64_t sum = 0;
    for (const auto &service : services) {
        sum += serviceHash(service);
    }
    return combineHash(sum, removed ? 1 : 0);
}

} // namespace medlarway
