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

std::uint64_t spanHash(std::uint64_t hash, Duration span)
{
    return combineHash(hash, static_cast<std::uint64_t>(span.count()));
}

std::uint64_t limitsHash(const ServiceLimits &limits)
{
    auto hash = combineHash(limits.slotsPerUpstream, limits.connectionsPerUpstream);
    hash = combineHash(hash, limits.queueLength);
    hash = combineHash(hash, limits.requestBytes);
    hash = spanHash(hash, limits.defaultDeadline);
    hash = spanHash(hash, limits.longestDeadline);
    hash = spanHash(hash, limits.shortBound);
    hash = spanHash(hash, limits.idleTimeout);
    return spanHash(hash, limits.keyWindow);
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

// A sum, since hosts may hold the services in the order in which they came.
std::uint64_t contentHash(const std::vector<Service> &services, bool removed)
{
    std::uint64_t sum = 0;
    for (const auto &service : services) {
        sum += serviceHash(service);
    }
    return combineHash(sum, removed ? 1 : 0);
}

} // namespace medlarway
