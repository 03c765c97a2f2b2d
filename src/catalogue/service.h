#pragma once

#include "base/endpoint.h"
#include "base/host.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace medlarway
{

/// The protocol of a service.
enum class ServiceKind : std::uint8_t {
    Stream, ///< TCP, forwarded unchanged
    Http, ///< HTTP/1.1, one request at a time on each connection
    Datagram, ///< UDP
};

/// How the requests of a service may be treated.
enum class ServiceClass : std::uint8_t {
    Idempotent, ///< a request may be retried until the first byte of its response
    Protected, ///< a request runs at most once
    Feed, ///< a request is long-lived and counts against connections, not slots
};

/// One endpoint that serves requests.
struct Upstream {
    Endpoint address;
    AvailabilityZone zone;
    bool draining = false; ///< receives no new requests, but completes those in progress

    friend auto operator<=>(const Upstream &, const Upstream &) = default;
};

/// Limits of a service.
struct ServiceLimits {
    std::uint32_t slotsPerUpstream = 2; ///< concurrent requests at one upstream
    std::uint32_t connectionsPerUpstream = 2000;
    std::uint32_t queueLength = 256; ///< maximum number of requests queued on one host
    Duration defaultDeadline = std::chrono::seconds{30};
    Duration longestDeadline = std::chrono::seconds{300};
    Duration shortBound = std::chrono::milliseconds{500}; ///< a request that runs longer counts as long
    std::uint64_t requestBytes = 64ULL << 20U; ///< maximum size of a request body
    Duration idleTimeout = std::chrono::minutes{5}; ///< for datagram flows, and for connections of callers between requests
    Duration keyWindow = std::chrono::minutes{10}; ///< how long an idempotency key is kept

    friend auto operator<=>(const ServiceLimits &, const ServiceLimits &) = default;
};

/// A service as described in the catalogue. Not modified once it is in force.
struct Service {
    std::string name;
    std::string owner;
    ServiceClass serviceClass = ServiceClass::Idempotent;
    ServiceKind kind = ServiceKind::Http;
    Endpoint address; ///< where callers connect; 0.0.0.0 means every address of the host
    std::vector<Upstream> upstreams;
    ServiceLimits limits;

    friend bool operator==(const Service &, const Service &) = default;
};

/// A named part of the catalogue, updated atomically.
struct CatalogueShard {
    std::string name;
    std::uint64_t revision = 0; ///< assigned by the platform; a lower one never replaces a higher one
    std::vector<Service> services;

    friend bool operator==(const CatalogueShard &, const CatalogueShard &) = default;
};

/// All shards in force on one host, sorted by name.
struct Catalogue {
    std::vector<CatalogueShard> shards;

    friend bool operator==(const Catalogue &, const Catalogue &) = default;
};

} // namespace medlarway
